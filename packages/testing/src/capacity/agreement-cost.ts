import { type ConsensusEvent, ConsensusMember, initialState } from "@medlarledge/agreement";
import { encodeMessage } from "@medlarledge/protocol";
import { cpuSeconds, type Print, printFit, round } from "./measure.js";

const TICK_MS = 10;
const ELECTION_MS = 3_000;
const PAYLOAD_BYTES = [100, 1_000, 10_000, 100_000] as const;
const ENTRIES = 100;

interface Delivery {
    readonly to: string;
    readonly event: ConsensusEvent;
}

/** A group of members in one process; every disk is synced at once and every message arrives at the next tick. */
class Group {
    readonly #members = new Map<string, ConsensusMember>();
    #queue: Delivery[] = [];
    #now = 0;
    leader = "";
    bytes = 0;
    messages = 0;
    committed = 0;

    constructor(size: number) {
        const voters = Array.from({ length: size }, (_, index) => `member-${index}`);
        voters.forEach((id, index) => {
            const agreement = new ConsensusMember({
                id,
                heartbeatMs: 50,
                electionMs: 300,
                snapshotEvery: 512,
                snapshotEveryBytes: 1024 * 1024,
                maxBatchEntries: 256,
                maxBatchBytes: 64 * 1024,
                snapshotChunkBytes: 256 * 1_024,
                seed: index + 1,
            });
            this.#members.set(id, agreement);
            this.#handle(id, { kind: "start", recovered: initialState(id, { voters, learners: [] }) });
        });
        this.run(ELECTION_MS);
    }

    propose(requestId: number, payload: Uint8Array): void {
        this.#handle(this.leader, { kind: "propose", requestId, payload });
    }

    run(milliseconds: number): void {
        for (const until = this.#now + milliseconds; this.#now < until; this.#now += TICK_MS) {
            const queue = this.#queue;
            this.#queue = [];
            queue.forEach(({ to, event }) => this.#handle(to, event));
            [...this.#members.keys()].forEach(id => this.#handle(id, { kind: "tick" }));
        }
    }

    #handle(id: string, event: ConsensusEvent): void {
        for (const effect of this.#members.get(id)?.handle(event, this.#now) ?? []) {
            if (effect.kind === "send") {
                const envelope = { kind: "agreement", from: id, to: effect.to, message: effect.message } as const;
                this.bytes += encodeMessage(envelope).byteLength;
                this.messages += 1;
                this.#queue.push({ to: effect.to, event: { kind: "message", from: id, message: effect.message } });
            }
            else if (effect.kind === "persist" || effect.kind === "saveSnapshot") {
                this.#queue.push({ to: id, event: { kind: "persisted", batch: effect.batch } });
            }
            else if (effect.kind === "commit" && id === this.leader) {
                this.committed += effect.entries.length;
            }
            else if (effect.kind === "role" && effect.role === "leader") {
                this.leader = id;
            }
            else if (effect.kind === "takeSnapshot") {
                const data = new Uint8Array(1_000);
                this.#queue.push({ to: id, event: { kind: "snapshotTaken", index: effect.index, data } });
            }
        }
    }
}

/** Bytes, messages and processor time of the whole group, idle and for each committed entry; encoding included. */
export function agreementCost(print: Print): void {
    for (const size of [3, 5]) {
        const idle = measure(size, group => group.run(10_000));
        print({ point: "agreement idle", members: size, seconds: 10, ...idle });
        const points = PAYLOAD_BYTES.map(bytes => {
            const busy = measure(size, group => {
                for (let index = 0; index < ENTRIES; index++) {
                    group.propose(index, new Uint8Array(bytes));
                    group.run(100);
                }
            });
            print({ point: "agreement entries", members: size, payload: bytes, entries: ENTRIES, ...busy });
            return { bytes, busy, entry: (busy.bytes - idle.bytes) / busy.committed };
        });
        printFit(
            print,
            `agreement, ${size} members`,
            "payload bytes",
            "bytes an entry",
            points.map(item => ({ x: item.bytes, y: item.entry })),
        );
        printFit(
            print,
            `agreement, ${size} members`,
            "payload bytes",
            "CPU seconds an entry",
            points.map(item => ({ x: item.bytes, y: (item.busy.cpu - idle.cpu) / ENTRIES })),
        );
    }
}

function measure(size: number, work: (group: Group) => void) {
    const group = new Group(size);
    const { bytes, messages, committed } = group;
    const before = cpuSeconds();
    work(group);
    return {
        cpu: round(cpuSeconds() - before),
        bytes: group.bytes - bytes,
        messages: group.messages - messages,
        committed: group.committed - committed,
    };
}
