import { type ConsensusEffect, type ConsensusStore, mergeBatches, type StoreError } from "@medlarledge/agreement";
import type { SimulatedHost } from "./simulated-host.js";
import type { World } from "./world.js";

type WriteEffect = Extract<ConsensusEffect, { kind: "persist" | "saveSnapshot"; }>;

/** Writes to a control host's disk one after another; what arrives during a sync shares the next one. */
export class WriteQueue {
    readonly #writes: WriteEffect[] = [];
    #writing = false;

    constructor(
        readonly world: World,
        readonly host: SimulatedHost,
        readonly store: ConsensusStore,
        readonly stopped: () => boolean,
        readonly persisted: (batch: number) => void,
    ) {}

    push(effect: WriteEffect): void {
        this.#writes.push(effect);
        void this.#write();
    }

    async #write(): Promise<void> {
        if (this.#writing) {
            return;
        }
        this.#writing = true;
        while (this.#writes.length > 0 && !this.stopped()) {
            const at = this.#writes.findIndex(effect => effect.kind === "saveSnapshot");
            const effects = this.#writes.splice(0, at === -1 ? this.#writes.length : Math.max(1, at));
            const batch = effects.at(-1)?.batch ?? 0;
            this.world.reach("disk:write");
            await this.world.time.sleep(this.host.disk.syncMs);
            const error = await this.#persist(effects);
            if (error !== undefined) {
                this.host.failed();
                return;
            }
            this.host.enter(() => this.persisted(batch));
        }
        this.#writing = false;
    }

    #persist(effects: readonly WriteEffect[]): Promise<StoreError | undefined> {
        const [first] = effects;
        return first?.kind === "saveSnapshot"
            ? this.store.saveSnapshot(first.snapshot)
            : this.store.persist(mergeBatches(effects.filter(effect => effect.kind === "persist")));
    }
}
