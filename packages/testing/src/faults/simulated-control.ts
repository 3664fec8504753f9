import {
    type ConsensusEffect,
    type ConsensusEvent,
    ConsensusMember,
    ConsensusStore,
    type RecoveredState,
} from "@medlarledge/agreement";
import {
    ControlLeader,
    ControlState,
    decodeCommand,
    encodeCommand,
    hostOfMember,
    type LeaderEffect,
    type LeaderEvent,
    nextMembers,
    replacementMemberId,
    type RequestName,
} from "@medlarledge/control";
import type { ConsensusMessage, Host, LogEntry } from "@medlarledge/protocol";
import { AGREEMENT, leaderOptions, PROMOTE_MS, READING_MS } from "./simulated-control-options.js";
import type { SimulatedDisk } from "./simulated-disk.js";
import type { SimulatedEndpoint } from "./simulated-endpoint.js";
import type { SimulatedHost } from "./simulated-host.js";
import { WriteQueue } from "./simulated-write-queue.js";
import { CONTROL_HOSTS, type World } from "./world.js";

/** Control hosts of the simulated group. */
const GROUP_SIZE = 3;

const MEMBERS_MS = 200;

/** The control part of a simulated host: the agreement with its store, the replicated state and the leader. */
export class SimulatedControl {
    readonly #joining = new Set<string>();
    readonly #requests = new Map<number, { readonly from: string; readonly id: string; }>();
    readonly #writes: WriteQueue;
    readonly #connected = new Map<string, Host>();
    #state = new ControlState();
    #leader: ControlLeader;
    #lastRequest = 0;
    #membersAt = 0;
    isLeader = false;
    stopped = false;

    private constructor(
        readonly world: World,
        readonly host: SimulatedHost,
        store: ConsensusStore,
        readonly memberId: string,
        readonly agreement: ConsensusMember,
    ) {
        this.#leader = new ControlLeader(this.#state, leaderOptions(host, world));
        this.#writes = new WriteQueue(
            world,
            host,
            store,
            () => this.stopped,
            batch => this.#agree({ kind: "persisted", batch }),
        );
    }

    /** Opens the host's disk; a fresh one joins the group under a new member id, or founds it. */
    static async open(
        world: World,
        host: SimulatedHost,
        disk: SimulatedDisk,
        founds: boolean,
    ): Promise<SimulatedControl | undefined> {
        let opened = await ConsensusStore.open("/data", disk.files);
        if (opened.ok && opened.recovered.fresh) {
            const { incarnation } = host.self;
            const members = { voters: CONTROL_HOSTS, learners: [] };
            await (founds
                ? opened.store.initialize(host.id, members)
                : opened.store.initialize(replacementMemberId(host.id, incarnation)));
            await opened.store.close();
            opened = await ConsensusStore.open("/data", disk.files);
        }
        if (!opened.ok) {
            return undefined;
        }
        const id = opened.recovered.memberId ?? host.id;
        const agreement = new ConsensusMember({ ...AGREEMENT, id, seed: 1 + Math.floor(world.time.random() * 1e9) });
        const control = new SimulatedControl(world, host, opened.store, id, agreement);
        control.#begin(opened.recovered);
        return control;
    }

    #begin(recovered: RecoveredState): void {
        this.world.reach("start:recovered");
        this.#agree({ kind: "start", recovered });
    }

    get mustJoin(): boolean {
        const { voters, learners } = this.agreement.members;
        return ![...voters, ...learners].includes(this.memberId);
    }

    tick(): void {
        this.#agree({ kind: "tick" });
        this.#lead({ kind: "tick" });
        this.#planMembers();
    }

    connected(host: Host): void {
        this.#connected.set(host.id, host);
        this.#lead({ kind: "hostConnected", host });
    }

    disconnected(id: string): void {
        const host = this.#connected.get(id);
        this.#connected.delete(id);
        if (host !== undefined) {
            this.#lead({ kind: "hostDisconnected", id, incarnation: host.incarnation });
        }
    }

    received(from: string, message: Extract<LeaderEvent, { kind: "message"; }>["message"]): void {
        this.#lead({ kind: "message", from, message });
    }

    agreementMessage(from: string, to: string, message: ConsensusMessage): void {
        if (to === this.memberId) {
            this.#agree({ kind: "message", from, message });
        }
    }

    request(from: string, id: string, name: string, body: unknown): void {
        if (name === "joinGroup") {
            this.world.reach("membership:asked");
            this.#joining.add(String(body));
            this.host.send(from, { kind: "leaderReply", id, ok: true, body: undefined });
            return;
        }
        this.#requests.set(++this.#lastRequest, { from, id });
        this.#lead({ kind: "request", requestId: this.#lastRequest, name: name as RequestName, body });
    }

    #agree(event: ConsensusEvent): void {
        if (this.stopped) {
            return;
        }
        for (const effect of this.agreement.handle(event, this.host.now())) {
            this.#execute(effect);
        }
    }

    #execute(effect: ConsensusEffect): void {
        switch (effect.kind) {
            case "persist":
            case "saveSnapshot":
                this.#writes.push(effect);
                break;
            case "send":
                this.host.send(hostOfMember(effect.to), {
                    kind: "agreement",
                    from: this.memberId,
                    to: effect.to,
                    message: effect.message,
                });
                break;
            case "commit":
                effect.entries.forEach(entry => this.#apply(entry));
                break;
            case "proposed":
                if (effect.outcome !== "committed") {
                    this.#lead({ kind: "proposalFailed", requestId: effect.requestId, reason: effect.outcome });
                }
                break;
            case "role":
                this.#role(effect.role === "leader");
                break;
            case "takeSnapshot":
                this.#agree({ kind: "snapshotTaken", index: effect.index, data: this.#state.snapshot() });
                break;
            case "restoreSnapshot":
                this.#state = ControlState.restore(effect.data);
                this.#leader = new ControlLeader(this.#state, leaderOptions(this.host, this.world));
                this.#connected.forEach(host => this.#lead({ kind: "hostConnected", host }));
                break;
        }
    }

    #apply(entry: LogEntry): void {
        if (entry.members !== undefined) {
            const { voters, learners } = entry.members;
            const promoted = voters.some(id => id.includes("#"));
            const removed = voters.length < GROUP_SIZE;
            const stage = promoted ? "promoted" : removed ? "removed" : `learners${learners.length}`;
            this.world.reach(`membership:${stage}`);
        }
        const command = decodeCommand(entry.payload);
        if (command === undefined) {
            return;
        }
        const result = this.#state.apply(command);
        if ("outcome" in result && result.outcome === "accepted") {
            this.world.applied(command, this.#state);
        }
        if (result.kind === "changeConfiguration" && command.kind === "changeConfiguration") {
            this.world.configurationApplied(command.change, result.result.outcome);
        }
        this.#lead({ kind: "applied", command, result });
    }

    #role(isLeader: boolean): void {
        if (isLeader !== this.isLeader) {
            this.isLeader = isLeader;
            this.world.reach(isLeader ? "leader:elected" : "leader:deposed");
            this.#lead({ kind: isLeader ? "elected" : "deposed" });
        }
    }

    #lead(event: LeaderEvent): void {
        if (this.stopped) {
            return;
        }
        const contactAt = this.agreement.quorumContactAt(this.host.now());
        for (const effect of this.#leader.handle(event, this.host.now(), this.host.wallClock(), contactAt)) {
            this.#carryOut(effect);
        }
    }

    #carryOut(effect: LeaderEffect): void {
        const { world, host } = this;
        switch (effect.kind) {
            case "send":
                host.send(effect.to, effect.message);
                break;
            case "propose":
                world.reach(`propose:${effect.command.kind}`);
                this.#agree({ kind: "propose", requestId: effect.requestId, payload: encodeCommand(effect.command) });
                break;
            case "readEndpoint":
                this.#order(effect.endpoint, READING_MS, endpoint => endpoint.reading(), reading => {
                    world.reach("read:endpoint");
                    this.#lead({ ...effect, kind: "reading", reading });
                });
                break;
            case "promoteEndpoint":
                world.reach("promote:ordered");
                this.#order(effect.endpoint, PROMOTE_MS, endpoint => endpoint.promote(), reading => {
                    world.reach("promote:answered");
                    this.#lead({ ...effect, kind: "promoted", reading });
                });
                break;
            case "followPrimary":
                this.#order(effect.endpoint, PROMOTE_MS, endpoint => endpoint.follow(effect.primary), () => undefined);
                break;
            case "fenceEndpoint":
                this.#order(effect.endpoint, PROMOTE_MS, endpoint => {
                    endpoint.readOnly = !endpoint.isReplica || endpoint.readOnly;
                }, () => undefined);
                break;
            case "reply": {
                const request = this.#requests.get(effect.requestId);
                if (request !== undefined) {
                    const { ok, body } = effect;
                    host.send(request.from, { kind: "leaderReply", id: request.id, ok, body });
                }
                break;
            }
            case "event":
                world.trace(`${host.id} ${effect.name} ${JSON.stringify(effect.fields)}`);
                break;
        }
    }

    /** Runs an order at an endpoint; the answer is undefined when it does not come in time. */
    #order<T>(
        id: string,
        timeoutMs: number,
        run: (endpoint: SimulatedEndpoint) => T,
        answered: (result: T | undefined) => void,
    ): void {
        this.host.ask(id, timeoutMs, run, answered);
    }

    #planMembers(): void {
        if (!this.isLeader || this.host.now() - this.#membersAt < MEMBERS_MS) {
            return;
        }
        this.#membersAt = this.host.now();
        const caughtUp = this.agreement.caughtUpLearners(this.host.now());
        const next = nextMembers(this.agreement.members, {
            joining: [...this.#joining],
            caughtUp,
            listed: CONTROL_HOSTS,
        });
        if (next !== undefined) {
            this.world.reach(`membership:proposed${next.learners.length}`);
            this.#agree({ kind: "proposeMembers", requestId: -(++this.#lastRequest), members: next });
        }
    }
}
