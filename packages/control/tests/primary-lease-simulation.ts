import type { Host, PromotionOrder } from "@medlarledge/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { LeaseAuthority, PrimaryLease } from "../src/index.js";
import { EventQueue } from "./event-queue.js";

const GROUP = "orders";
const ENDPOINTS = ["a", "b", "c"] as const;
const LEASE = { leaseMs: 400, driftMarginMs: 20, renewMs: 100 };
const STEP_DOWN_MS = 300;
const MAX_DELAY_MS = 30;
/** Share of the forwarded requests that reach no host with a link to the leader. */
const FORWARDING_LOSS = 0.7;
/** Clock rates differ by up to 2.4 %, so that two clocks drift apart by less than the margin during a lease. */
const MAX_DRIFT = 0.024;

export interface PrimarySimulationOptions {
    readonly seed: number;
    /** Hosts use any primary that they know, without a lease. */
    readonly ignoresLeases?: boolean;
    /** The leader gives orders to the platform without waiting for hosts. */
    readonly waitsForNobody?: boolean;
}

interface SimulatedHost {
    readonly host: Host;
    lease: PrimaryLease;
    readonly rate: number;
    isCut: boolean;
    frozenUntil: number;
    /** Time at which the last message of control arrives; links keep the order of messages. */
    lastArrival: number;
    /** Messages that arrived and are not handled yet. */
    readonly inbox: (() => void)[];
    /** Fencing token of the newest order that the host has received. */
    fence: number;
    /** The endpoint of that order. */
    primary: string;
}

interface Leader {
    readonly id: number;
    authority: LeaseAuthority;
    isIsolated: boolean;
    quorumAt: number;
    isDeposed: boolean;
}

/**
 * Hosts, control leaders and a platform that checks no fences: a former primary goes on committing for seconds after
 * another endpoint was promoted. Records acknowledged writes that were committed after that.
 */
export class PrimarySimulation {
    readonly violations: string[] = [];
    acknowledged = 0;
    promotions = 0;
    readonly #options: PrimarySimulationOptions;
    readonly #random: () => number;
    readonly #queue = new EventQueue();
    readonly #hosts: SimulatedHost[] = [];
    readonly #registered = new Map<string, Host>();
    /** Committed promotion orders, newest last. */
    readonly #log: PromotionOrder[] = [];
    /** Promotions that took effect, with their time. */
    readonly #effective: { readonly endpoint: string; readonly fence: number; readonly at: number; }[] = [
        { endpoint: "a", fence: 0, at: 0 },
    ];
    /** Time until which former primaries go on committing. */
    readonly #commitsUntil = new Map<string, number>();
    /** Time that the platform takes for a promotion. */
    readonly #promotionMs: number;
    #leader: Leader;
    #leaderCount = 0;
    #fence = 0;

    constructor(options: PrimarySimulationOptions) {
        this.#options = options;
        const generator = xoroshiro128plus(options.seed);
        this.#random = () => uniformFloat64(generator);
        this.#promotionMs = this.#random() * 300;
        this.#leader = this.#newLeader();
        for (let index = 0; index < 4; index++) {
            this.#hosts.push(this.#newHost(`h${index}`, 1));
        }
        this.#hosts.forEach(host => {
            this.#connect(host);
            this.#every(host, 25, () => this.#hostTick(host));
            this.#every(host, 10, () => this.#write(host));
        });
    }

    /** Runs a schedule of random faults and promotions. */
    run(faults: number): void {
        for (let fault = 0; fault < faults; fault++) {
            this.#queue.run(this.#random() * 400);
            this.#fault();
        }
        this.#queue.run(2_000);
    }

    #fault(): void {
        const host = this.#hosts[Math.floor(this.#random() * this.#hosts.length)]!;
        const faults: readonly (() => void)[] = [
            () => this.#order(),
            () => this.#order(),
            () => this.#setCut(host, !host.isCut),
            () => (host.frozenUntil = this.#now + this.#random() * 1_500),
            () => this.#restart(host),
            () => this.#replaceLeader(),
        ];
        faults[Math.floor(this.#random() * faults.length)]!();
    }

    /** The leader orders another endpoint, and gives the order to the platform as soon as it may. */
    #order(): void {
        const leader = this.#leader;
        const last = this.#log.at(-1);
        const isOpen = last !== undefined && !this.#effective.some(({ fence }) => fence >= last.fence);
        const others = ENDPOINTS.filter(id => id !== (last?.endpoint ?? "a") && !this.#isFormerPrimary(id));
        if (!isOpen && others.length === 0) {
            return;
        }
        // An order that has not taken effect may still do so: the same endpoint is ordered again.
        const endpoint = isOpen ? last.endpoint : others[Math.floor(this.#random() * others.length)]!;
        const order = { group: GROUP, endpoint, fence: ++this.#fence };
        this.#log.push(order);
        leader.authority.revoke(order);
        this.#hosts.forEach(host => this.#send(host, () => this.#ordersReceived(host)));
        const check = (): void => {
            const isCurrent = leader === this.#leader && !leader.isDeposed && this.#hasQuorum(leader)
                && this.#log.at(-1) === order;
            if (!isCurrent) {
                return;
            }
            if (leader.authority.holders(GROUP, this.#now).length > 0 && this.#options.waitsForNobody !== true) {
                this.#after(10, check);
                return;
            }
            this.promotions += 1;
            const { fence } = order;
            this.#after(this.#promotionMs, () => this.#promoted(endpoint, fence));
        };
        check();
    }

    #promoted(endpoint: string, fence: number): void {
        const former = this.#effective.at(-1)?.endpoint;
        if (former !== undefined && former !== endpoint) {
            this.#commitsUntil.set(former, this.#now + 1_000 + this.#random() * 3_000);
        }
        this.#commitsUntil.delete(endpoint);
        this.#effective.push({ endpoint, fence, at: this.#now });
    }

    /** Returns true when an endpoint goes on committing after another one was promoted. */
    #isFormerPrimary(endpoint: string): boolean {
        return this.#effective.at(-1)?.endpoint !== endpoint && (this.#commitsUntil.get(endpoint) ?? 0) > this.#now;
    }

    #replaceLeader(): void {
        const former = this.#leader;
        former.isIsolated = true;
        this.#after(STEP_DOWN_MS / (1 - MAX_DRIFT) + this.#random() * 300, () => {
            if (this.#leader === former) {
                former.isDeposed = true;
                this.#leader = this.#newLeader();
                this.#hosts.forEach(host => this.#connect(host));
            }
        });
    }

    #newLeader(): Leader {
        this.#leaderCount += 1;
        const registered = [...this.#registered.values()];
        const authority = new LeaseAuthority({ ...LEASE, stepDownMs: STEP_DOWN_MS }, registered, this.#now);
        const leader = { id: this.#leaderCount, authority, isIsolated: false, quorumAt: this.#now, isDeposed: false };
        const contact = (): void => {
            if (!leader.isIsolated) {
                leader.quorumAt = this.#now;
                this.#after(50, contact);
            }
        };
        contact();
        return leader;
    }

    #hasQuorum(leader: Leader): boolean {
        return this.#now - leader.quorumAt < STEP_DOWN_MS;
    }

    #newHost(id: string, incarnation: number): SimulatedHost {
        const address = { peerAddress: id, httpAddress: "", callerAddress: "", dataCentre: "d1", control: false };
        const rate = 1 + (this.#random() * 2 - 1) * MAX_DRIFT;
        const host = { id, incarnation: String(incarnation), ...address };
        return {
            host,
            lease: new PrimaryLease(LEASE),
            rate,
            isCut: false,
            frozenUntil: 0,
            lastArrival: 0,
            inbox: [],
            primary: "a",
            fence: 0,
        };
    }

    #restart(host: SimulatedHost): void {
        const next = this.#newHost(host.host.id, Number(host.host.incarnation) + 1);
        this.#leader.authority.disconnected(host.host);
        Object.assign(host, next, { isCut: host.isCut });
        this.#connect(host);
    }

    #setCut(host: SimulatedHost, isCut: boolean): void {
        host.isCut = isCut;
        if (isCut) {
            this.#leader.authority.disconnected(host.host);
        }
        else {
            this.#connect(host);
        }
    }

    /** A new link: the leader sends all known orders over it before any grant. */
    #connect(host: SimulatedHost): void {
        if (!host.isCut) {
            this.#leader.authority.connected(host.host, this.#now);
            this.#send(host, () => this.#ordersReceived(host));
        }
    }

    #ordersReceived(host: SimulatedHost, orders: readonly PromotionOrder[] = this.#log.slice(-1)): void {
        const known = host.lease.selectConfirmed(orders);
        orders.forEach(order => {
            host.lease.ordered(order, this.#clockOf(host));
            if (order.fence > host.fence) {
                host.fence = order.fence;
                host.primary = order.endpoint;
            }
        });
        this.#confirm(host, [...known, ...host.lease.takeConfirmations(this.#clockOf(host))]);
    }

    #confirm(host: SimulatedHost, orders: readonly PromotionOrder[]): void {
        const leader = this.#leader;
        const { id } = host.host;
        for (const { group, fence } of orders) {
            this.#toLeader(host, leader, () => leader.authority.confirmed(id, group, fence));
        }
    }

    #hostTick(host: SimulatedHost): void {
        const renewal = host.lease.nextRenewal(this.#clockOf(host));
        this.#confirm(host, host.lease.takeConfirmations(this.#clockOf(host)));
        if (renewal !== undefined && host.isCut) {
            this.#forwardRenewal(host, renewal.sequence);
        }
        else if (renewal !== undefined) {
            const leader = this.#leader;
            const { host: sender, lease } = host;
            this.#toLeader(host, leader, () => {
                const durationMs = this.#renew(sender, leader);
                if (durationMs !== undefined) {
                    this.#send(host, () => this.#granted(host, lease, renewal.sequence, durationMs));
                }
            });
        }
    }

    /** A host without a link to the leader asks over one that has a link; the reply brings the orders known then. */
    #forwardRenewal(host: SimulatedHost, sequence: number): void {
        const leader = this.#leader;
        const { host: sender, lease } = host;
        const confirmed = lease.confirmedOrders();
        const isLost = this.#random() < FORWARDING_LOSS;
        if (isLost || this.#hosts.every(({ isCut }) => isCut)) {
            return;
        }
        this.#after(this.#delay() + this.#delay(), () => {
            leader.authority.connectedOver(sender, this.#now);
            confirmed.forEach(({ group, fence }) => leader.authority.confirmed(sender.id, group, fence));
            const durationMs = this.#renew(sender, leader);
            const orders = this.#log.slice(-1);
            this.#send(host, () => {
                this.#ordersReceived(host, orders);
                if (durationMs !== undefined) {
                    this.#granted(host, lease, sequence, durationMs);
                }
            }, true);
        });
    }

    #granted(host: SimulatedHost, lease: PrimaryLease, sequence: number, durationMs: number): void {
        lease.granted({ kind: "leaseGranted", sequence, durationMs }, this.#clockOf(host));
    }

    /** Returns the duration of the granted lease. */
    #renew(sender: Host, leader: Leader): number | undefined {
        if (!this.#hasQuorum(leader) || leader.isDeposed) {
            return undefined;
        }
        const isRegistered = ({ id, incarnation }: Host): boolean =>
            this.#registered.get(id)?.incarnation === incarnation;
        const decision = leader.authority.renew(sender, isRegistered, this.#now);
        if (decision.kind === "register" && leader === this.#leader && !leader.isIsolated) {
            this.#registered.set(decision.host.id, decision.host);
        }
        return decision.kind === "grant" ? decision.durationMs : undefined;
    }

    /** A caller's write to the endpoint that the host uses, which commits it even when it was deposed. */
    #write(host: SimulatedHost): void {
        const endpoint = host.primary;
        const { lease } = host;
        const mayUse = this.#options.ignoresLeases === true || lease.mayUse(GROUP, endpoint, this.#clockOf(host));
        const commits = this.#effective.at(-1)?.endpoint === endpoint || this.#isFormerPrimary(endpoint);
        if (!mayUse || !commits) {
            return;
        }
        lease.started(GROUP);
        this.#after(this.#delay(), () => {
            const committedAt = this.#now;
            this.#send(host, () => {
                lease.ended(GROUP);
                const mayAcknowledge = this.#options.ignoresLeases === true
                    || lease.mayAcknowledge(GROUP, endpoint, this.#clockOf(host));
                if (mayAcknowledge && lease === host.lease) {
                    this.#checkAcknowledged(host, endpoint, committedAt);
                }
            }, true);
        });
    }

    #checkAcknowledged(host: SimulatedHost, endpoint: string, committedAt: number): void {
        this.acknowledged += 1;
        const primary = this.#effective.filter(({ at }) => at <= committedAt).at(-1);
        if (primary?.endpoint !== endpoint) {
            this.violations.push(
                `${host.host.id} acknowledged a write that ${endpoint} committed at ${committedAt.toFixed(0)}`,
            );
        }
    }

    #clockOf({ rate }: SimulatedHost): number {
        return this.#now * rate;
    }

    #delay(): number {
        return this.#random() * MAX_DELAY_MS;
    }

    /** Delivers a message to a host, after its freeze; messages of control are lost while it is cut off. */
    #send(host: SimulatedHost, handle: () => void, isFromEndpoint = false): void {
        const { incarnation } = host.host;
        const deliver = (): void => {
            host.inbox.push(() => host.host.incarnation === incarnation && handle());
            this.#processInbox(host);
        };
        if (isFromEndpoint) {
            this.#after(this.#delay(), deliver);
        }
        else if (!host.isCut) {
            host.lastArrival = Math.max(host.lastArrival, this.#now + this.#delay());
            this.#after(host.lastArrival - this.#now, deliver);
        }
    }

    /** Handles messages in the order of their arrival, after a freeze. */
    #processInbox(host: SimulatedHost): void {
        if (host.frozenUntil > this.#now) {
            this.#after(host.frozenUntil - this.#now, () => this.#processInbox(host));
            return;
        }
        host.inbox.splice(0).forEach(handle => handle());
    }

    #toLeader(host: SimulatedHost, leader: Leader, handle: () => void): void {
        const { incarnation } = host.host;
        if (!host.isCut) {
            this.#after(this.#delay(), () => host.host.incarnation === incarnation && !leader.isDeposed && handle());
        }
    }

    /** Repeats an action of a host that does nothing while it is frozen. */
    #every(host: SimulatedHost, ms: number, act: () => void): void {
        this.#after(ms, () => {
            if (host.frozenUntil <= this.#now) {
                act();
            }
            this.#every(host, ms, act);
        });
    }

    get #now(): number {
        return this.#queue.now;
    }

    #after(ms: number, act: () => void): void {
        this.#queue.at(ms, act);
    }
}
