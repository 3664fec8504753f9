import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, vi } from "vitest";
import { MemberNetwork } from "./member-network.js";

/** Time after which a host that is back counts as having caught up, and within which a change is in force. */
const CATCH_UP_MS = 4_000;
const IN_FORCE_MS = 3_000;

/** Time without an acknowledgement after which a change that is sent again and again has failed. */
const CHANGE_TIMEOUT_MS = 5_000;
const RESEND_MS = 200;

/** Runs one schedule: changes, and one loss at a time right after an acknowledgement. Throws on a violation. */
export class Schedule {
    readonly #random;
    readonly #network: MemberNetwork;
    readonly #steps: string[] = [];
    #number = 0;
    #acknowledged = 0;
    #addedCount = 0;

    constructor(seed: number) {
        this.#random = xoroshiro128plus(seed);
        this.#network = new MemberNetwork(this.#pick([0, 1, 5, 30]), seed);
    }

    async run(lossCount: number): Promise<void> {
        const losses = [
            ...[this.#disk, this.#disk, this.#diskAndPower, this.#diskAndPower, this.#power],
            ...[this.#replace, this.#replace, this.#replaceOthers, this.#cut, this.#stall],
        ];
        try {
            await this.#network.found("a", "b", "c");
            for (const id of ["d", "e"].slice(0, this.#pick([0, 0, 1, 2]))) {
                await this.#network.start(id);
                await this.#pass(CATCH_UP_MS);
            }
            for (let loss = 0; loss < lossCount; loss += 1) {
                await this.#changes(this.#below(60));
                await this.#pick(losses).call(this);
                await this.#pass(CATCH_UP_MS);
                await this.#check();
            }
        }
        finally {
            this.#network.dispose();
        }
    }

    /** Sends changes in quick succession to any hosts, and returns right after one is acknowledged. */
    async #changes(count: number): Promise<void> {
        const gapMs = this.#pick([1, 3, 10, 100]);
        for (let change = 0; change < count; change += 1) {
            this.#number += 1;
            void this.#send(this.#number, this.#pick(this.#network.running()));
            await this.#pass(gapMs);
        }
        await this.#acknowledge();
    }

    /** Sends one change to the hosts in turn until it is acknowledged. */
    async #acknowledge(): Promise<void> {
        this.#number += 1;
        const number = this.#number;
        for (let attempt = 0; this.#acknowledged < number; attempt += 1) {
            if (attempt >= CHANGE_TIMEOUT_MS) {
                throw new Error(`no change is acknowledged ${this.#describe()}`);
            }
            const running = this.#network.running();
            if (attempt % RESEND_MS === 0) {
                void this.#send(number, running[(attempt / RESEND_MS) % running.length] ?? "");
            }
            await this.#pass(1);
        }
    }

    async #send(number: number, at: string): Promise<void> {
        if (await this.#network.change(number, at)) {
            this.#acknowledged = Math.max(this.#acknowledged, number);
        }
    }

    #disk(): Promise<void> {
        return this.#lose(this.#pick(this.#network.running()));
    }

    async #lose(id: string): Promise<void> {
        this.#steps.push(`disk of ${id}`);
        this.#network.loseDisk(id);
        await this.#pass(this.#below(1_500));
        await this.#network.start(id);
    }

    /** The disk of one host stalls while changes are made; then another one loses its disk, and all lose power. */
    async #stall(): Promise<void> {
        const ids = this.#network.running();
        const stalled = this.#pick(ids);
        const disk = this.#network.disk(stalled);
        this.#steps.push(`disk of ${stalled} stalls`);
        disk.isStalled = true;
        await this.#changes(this.#below(100));
        setTimeout(() => {
            disk.isStalled = false;
        }, this.#below(1_000));
        await this.#diskAndPower(this.#pick(ids.filter(id => id !== stalled)));
    }

    /** One host loses its disk, sometimes twice, while all lose power. */
    async #diskAndPower(lost = this.#leaderOrAny()): Promise<void> {
        const ids = this.#network.running();
        this.#steps.push(`disk of ${lost} and power of all`);
        ids.forEach(id => id === lost ? this.#network.loseDisk(id) : this.#network.losePower(id));
        await this.#startAll(ids);
        if (this.#below(3) === 0) {
            await this.#pass(this.#below(1_500));
            this.#steps.push(`disk of ${lost} again`);
            this.#network.loseDisk(lost);
            await this.#network.start(lost);
        }
    }

    async #power(): Promise<void> {
        const ids = this.#network.running();
        this.#steps.push("power of all");
        ids.forEach(id => this.#network.losePower(id));
        await this.#startAll(ids);
    }

    async #startAll(ids: readonly string[]): Promise<void> {
        const order = ids.map(id => ({ id, delayMs: this.#below(800) })).sort((x, y) => x.delayMs - y.delayMs);
        let passedMs = 0;
        for (const { id, delayMs } of order) {
            await this.#pass(Math.max(0, delayMs - passedMs));
            passedMs = delayMs;
            await this.#network.start(id);
        }
    }

    /** Another host takes the place of one, before or after that one is gone. */
    async #replace(): Promise<void> {
        const id = this.#pick(this.#network.running());
        this.#addedCount += 1;
        const added = `n${this.#addedCount}`;
        this.#steps.push(`${added} in place of ${id}`);
        const gapMs = this.#pick([-2_000, -500, 0, 300, 1_500]);
        if (gapMs >= 0) {
            this.#network.remove(id);
            await this.#pass(gapMs);
        }
        await this.#network.start(added);
        if (gapMs < 0) {
            await this.#pass(-gapMs);
            this.#network.remove(id);
        }
        await this.#pass(this.#below(3_000));
        await this.#pick([
            async () => undefined,
            () => this.#power(),
            () => this.#diskAndPower(added),
            () => this.#lose(added),
        ])();
    }

    async #cut(): Promise<void> {
        const cut = this.#pick(this.#network.running());
        this.#steps.push(`${cut} is cut off`);
        this.#network.isCut = (from, to) => from === cut || to === cut;
        await this.#changes(this.#below(80));
        await this.#pass(this.#below(6_000));
        this.#network.isCut = () => false;
    }

    /** One of at least four hosts is cut off until all others have been replaced. */
    async #replaceOthers(): Promise<void> {
        const [cut = "", ...others] = this.#network.running();
        if (others.length < 3) {
            return;
        }
        this.#steps.push(`all but ${cut} are replaced while it is cut off`);
        this.#network.isCut = (from, to) => from === cut || to === cut;
        await this.#pass(CATCH_UP_MS);
        for (const id of others) {
            this.#network.remove(id);
            this.#addedCount += 1;
            await this.#network.start(`n${this.#addedCount}`);
            await this.#pass(CATCH_UP_MS);
        }
        this.#network.isCut = () => false;
    }

    /** Requires that all hosts are members again and have every acknowledged change, also a further one. */
    async #check(): Promise<void> {
        await this.#requireCurrent();
        await this.#acknowledge();
        await this.#pass(IN_FORCE_MS);
        await this.#requireCurrent();
    }

    async #requireCurrent(): Promise<void> {
        const ids = [...this.#network.running()].sort();
        for (const id of ids) {
            const { configuration, hosts, leader } = this.#network.member(id);
            const isCurrent = (configuration?.number ?? 0) >= this.#acknowledged;
            expect({ id, isCurrent, hosts: [...hosts].sort(), hasLeader: leader !== undefined }, this.#describe())
                .toEqual({ id, isCurrent: true, hosts: ids, hasLeader: true });
        }
        const read = this.#network.member(this.#network.leader() ?? "").readNewestNumber();
        await this.#pass(500);
        expect(await read, this.#describe()).toBeGreaterThanOrEqual(this.#acknowledged);
    }

    #leaderOrAny(): string {
        const any = this.#pick(this.#network.running());
        return this.#below(2) === 0 ? this.#network.leader() ?? any : any;
    }

    #describe(): string {
        return `after ${this.#steps.join("; ")}`;
    }

    #below(limit: number): number {
        return uniformInt(this.#random, 0, limit - 1);
    }

    #pick<T>(values: readonly T[]): T {
        return values[this.#below(values.length)]!;
    }

    async #pass(durationMs: number): Promise<void> {
        await vi.advanceTimersByTimeAsync(durationMs);
    }
}
