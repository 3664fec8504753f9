import { type Sink, Stream } from "most";

interface Subscription<T> {
    readonly sink: Sink<T>;
    readonly now: () => number;
}

/** An event source with a stream. Pushed values are delivered synchronously and in order to the current observers. */
export class Channel<T> {
    readonly #subscriptions = new Set<Subscription<T>>();

    readonly stream: Stream<T> = new Stream<T>({
        run: (sink, scheduler) => {
            const subscription = { sink, now: () => scheduler.now() };
            this.#subscriptions.add(subscription);
            return { dispose: () => void this.#subscriptions.delete(subscription) };
        },
    });

    push(value: T): void {
        for (const { sink, now } of this.#subscriptions) {
            sink.event(now(), value);
        }
    }
}
