interface Entry {
    readonly at: number;
    readonly order: number;
    readonly run: (now: number) => void;
}

/** Runs callbacks in the order of their times; equal times in the order in which they were added. */
export class EventQueue {
    #heap: Entry[] = [];
    #order = 0;

    add(at: number, run: (now: number) => void): void {
        const heap = this.#heap;
        let index = heap.push({ at, order: this.#order++, run }) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!before(heap[index]!, heap[parent]!)) {
                break;
            }
            [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
            index = parent;
        }
    }

    runUntil(end: number): void {
        for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
            this.#removeFirst();
            next.run(next.at);
        }
    }

    #removeFirst(): void {
        const heap = this.#heap;
        const last = heap.pop();
        if (heap.length === 0 || last === undefined) {
            return;
        }
        heap[0] = last;
        for (let index = 0;;) {
            let least = index;
            for (const child of [2 * index + 1, 2 * index + 2]) {
                if (child < heap.length && before(heap[child]!, heap[least]!)) {
                    least = child;
                }
            }
            if (least === index) {
                return;
            }
            [heap[index], heap[least]] = [heap[least]!, heap[index]!];
            index = least;
        }
    }
}

function before(left: Entry, right: Entry): boolean {
    return left.at < right.at || (left.at === right.at && left.order < right.order);
}
