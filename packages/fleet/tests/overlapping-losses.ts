import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, vi } from "vitest";
import { MemberNetwork } from "./member-network.js";

/** Time after which a host that is back, or new, no longer counts as lost, in ms. */
const CATCH_UP_MS = 6_000;
/** Time within which the group serves again once all hosts are back, in ms. */
const RECOVERY_MS = 15_000;
/** The longest time for which a host is down, in ms. */
const MAX_DOWN_MS = 8_000;

/** One group whose hosts are down, wiped and replaced at the same time, with as many lost disks as are tolerated. */
export class OverlappingLosses {
    readonly #random;
    readonly #network: MemberNetwork;
    readonly #toleratedLosses: number;
    readonly #steps: string[] = [];
    #number = 0;
    #acknowledged = 0;
    #addedCount = 0;

    constructor(seed: number) {
        this.#random = xoroshiro128plus(seed);
        this.#toleratedLosses = this.#pick([1, 1, 2]);
        this.#network = new MemberNetwork(this.#pick([0, 1, 5]), seed, this.#toleratedLosses);
    }

    /** Runs overlapping losses several times. Throws when an acknowledged change is gone or no further one succeeds. */
    async run(count: number): Promise<void> {
        try {
            await this.#network.found("a", "b", "c");
            const needed = 2 * this.#toleratedLosses + 1;
            for (const id of ["d", "e", "f", "g"].slice(0, needed - 3 + this.#below(2))) {
                await this.#network.start(id);
            }
            await this.#pass(2 * CATCH_UP_MS);
            for (let round = 0; round < count; round += 1) {
                await this.#change();
                await this.#losses();
                await this.#requireKept();
            }
        }
        finally {
            this.#network.dispose();
        }
    }

    /** Some hosts lose power and some their disks, one goes for good if its successor is ready, and some are restarted. */
    async #losses(): Promise<void> {
        const gone = this.#below(2) === 0 ? await this.#addSuccessor() : undefined;
        const hosts = this.#shuffled(this.#network.running().filter(id => id !== gone));
        const wiped = hosts.slice(0, 1 + this.#below(this.#toleratedLosses));
        const down = hosts.slice(wiped.length, wiped.length + this.#below(hosts.length - wiped.length + 1));
        const events = [
            ...wiped.map(id => ({ id, what: "loses its disk", lose: () => this.#network.loseDisk(id) })),
            ...down.map(id => ({ id, what: "loses power", lose: () => this.#network.losePower(id) })),
            ...gone === undefined ? [] : [{ id: gone, what: "is gone", lose: () => this.#network.remove(gone) }],
        ];
        const spreadMs = this.#pick([1, 500, 4_000]);
        await Promise.all(
            this.#shuffled(events).map(async ({ id, what, lose }) => {
                await this.#delay(this.#below(spreadMs));
                this.#steps.push(`${id} ${what}`);
                lose();
                if (id !== gone) {
                    await this.#delay(this.#below(MAX_DOWN_MS));
                    this.#steps.push(`${id} is back`);
                    await this.#network.start(id);
                }
            }).concat(this.#pass(spreadMs + MAX_DOWN_MS), this.#changesMeanwhile()),
        );
    }

    /** Starts a host in place of another one and waits until that one no longer counts. Returns the replaced one. */
    async #addSuccessor(): Promise<string> {
        const replaced = this.#pick(this.#network.running());
        this.#addedCount += 1;
        this.#steps.push(`n${this.#addedCount} is to succeed ${replaced}`);
        await this.#network.start(`n${this.#addedCount}`);
        await this.#pass(CATCH_UP_MS);
        return replaced;
    }

    async #changesMeanwhile(): Promise<void> {
        for (let change = this.#below(8); change > 0; change -= 1) {
            await this.#delay(this.#below(1_500));
            const [at] = this.#shuffled(this.#network.running());
            if (at !== undefined) {
                this.#number += 1;
                void this.#send(this.#number, at);
            }
        }
    }

    async #change(): Promise<void> {
        this.#number += 1;
        void this.#send(this.#number, this.#network.leader() ?? this.#network.running()[0] ?? "");
        await this.#pass(1_000);
        expect(this.#acknowledged, this.#describe()).toBe(this.#number);
    }

    async #send(number: number, at: string): Promise<void> {
        if (await this.#network.change(number, at)) {
            this.#acknowledged = Math.max(this.#acknowledged, number);
        }
    }

    async #requireKept(): Promise<void> {
        await this.#pass(RECOVERY_MS);
        for (const id of this.#network.running()) {
            const number = this.#network.member(id).configuration?.number ?? 0;
            expect(number, `${id} ${this.#describe()}`).toBeGreaterThanOrEqual(this.#acknowledged);
        }
        await this.#change();
    }

    #describe(): string {
        return `with ${this.#toleratedLosses} losses tolerated, after ${this.#steps.join("; ")}`;
    }

    #shuffled<T>(values: readonly T[]): readonly T[] {
        return values.map(value => ({ value, at: this.#below(1_000_000) })).sort((x, y) => x.at - y.at)
            .map(({ value }) => value);
    }

    #below(limit: number): number {
        return uniformInt(this.#random, 0, limit - 1);
    }

    #pick<T>(values: readonly T[]): T {
        return values[this.#below(values.length)]!;
    }

    #delay(durationMs: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, durationMs));
    }

    async #pass(durationMs: number): Promise<void> {
        await vi.advanceTimersByTimeAsync(durationMs);
    }
}
