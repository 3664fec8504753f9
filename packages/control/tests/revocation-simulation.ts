import { KeyLease } from "@medlarledge/customers";
import { Random } from "@medlarledge/routing";
import { EventQueue } from "./event-queue.js";

const REVOCATION_MS = 5_000;
const TICK_MS = 50;
const RUN_MS = 30_000;
const HOSTS = 3;
const CONTROL_HOSTS = 3;
const KEYS = 4;
const MAX_MESSAGE_DELAY_MS = 40;

/** Maximum delay of messages on a link that loses packets, or over a host that is frozen. */
const MAX_SLOW_DELAY_MS = 8_000;

/** Rates of the hosts' clocks differ by up to 1 %. */
const MAX_CLOCK_DRIFT = 0.01;

export interface RevocationSimulationOptions {
    readonly seed: number;
    /** Hosts accept every key of their configuration. */
    readonly ignoresLease?: boolean;
    /** The lease counts from the arrival of an answer. */
    readonly countsFromArrival?: boolean;
    /** Control hosts that take themselves for the leader answer without a quorum's confirmation. */
    readonly answersUnconfirmed?: boolean;
}

/** A committed configuration. */
interface Configuration {
    readonly number: number;
    readonly keys: ReadonlySet<number>;
}

interface ControlHost {
    /** The newest committed configuration that it knows. */
    configuration: Configuration;
    /** Leadership that it believes to have; undefined for a follower. */
    term: number | undefined;
}

interface EntryHost {
    readonly rate: number;
    lease: KeyLease;
    /** Increases when the process restarts. */
    incarnation: number;
    configuration: Configuration;
    frozenUntil: number;
    /** Until when messages from and to this host are delayed. */
    slowUntil: number;
}

/**
 * Simulates operators that revoke keys, control hosts whose leader changes, and entry hosts that are cut off (also in one
 * direction), slowed, frozen and restarted, while callers send requests. Checks that no request is accepted that was sent later
 * than the revocation time after the acknowledgement of a configuration that took its key away.
 */
export class RevocationSimulation {
    readonly violations: string[] = [];
    accepted = 0;
    revocations = 0;
    readonly #options: RevocationSimulationOptions;
    readonly #random: Random;
    readonly #events = new EventQueue();
    readonly #hosts: EntryHost[];
    readonly #control: ControlHost[];
    /** Directed links that lose messages, as `from>to`. */
    readonly #cuts = new Set<string>();
    /** Time at which the revocation of each key was acknowledged; undefined while the key is valid. */
    readonly #revokedAt = new Map<number, number>();
    #newest: Configuration = { number: 1, keys: new Set(Array.from({ length: KEYS }, (_, key) => key)) };
    #term = 1;

    constructor(options: RevocationSimulationOptions) {
        this.#options = options;
        this.#random = new Random(options.seed);
        this.#hosts = Array.from({ length: HOSTS }, () => ({
            rate: 1 + (this.#random.unit() * 2 - 1) * MAX_CLOCK_DRIFT,
            lease: startedLease(this.#newest),
            incarnation: 0,
            configuration: this.#newest,
            frozenUntil: 0,
            slowUntil: 0,
        }));
        this.#control = Array.from({ length: CONTROL_HOSTS }, (_, index) => ({
            configuration: this.#newest,
            term: index === 0 ? 1 : undefined,
        }));
    }

    run(): void {
        this.#hosts.forEach((_, host) => this.#every(TICK_MS, () => this.#onHost(host, () => this.#tick(host))));
        this.#hosts.forEach((_, host) => this.#every(100, () => this.#request(host)));
        this.#every(3_000, () => this.#changeConfiguration());
        this.#every(2_500, () => this.#fail());
        this.#events.run(RUN_MS);
    }

    /** Sends a request with a random key to a host, which handles it once it runs. */
    #request(host: number): void {
        const key = this.#random.below(KEYS);
        const sentAt = this.#now;
        this.#after(this.#delay(), () =>
            this.#onHost(host, () => {
                const { lease, configuration } = this.#host(host);
                const accepts = this.#options.ignoresLease === true || lease.acceptsKeys(this.#clock(host));
                if (accepts && configuration.keys.has(key)) {
                    this.accepted += 1;
                    this.#check(host, key, sentAt);
                }
            }));
    }

    #check(host: number, key: number, sentAt: number): void {
        const revokedAt = this.#revokedAt.get(key);
        if (revokedAt !== undefined && sentAt > revokedAt + REVOCATION_MS) {
            this.violations.push(`host ${host} accepted key ${key} ${sentAt - revokedAt} ms after its revocation`);
        }
    }

    /** A host's periodic work: it asks the control host that it takes for the leader, and others on a repetition. */
    #tick(host: number): void {
        const { lease, incarnation } = this.#host(host);
        const question = lease.nextRequest(this.#clock(host));
        if (question === undefined) {
            return;
        }
        const first = this.#control.findIndex(({ term }) => term !== undefined);
        this.#control.forEach((_, control) => {
            if (control === first || question.isRepeated) {
                this.#send(
                    `h${host}>c${control}`,
                    host,
                    () => this.#asked(control, host, incarnation, question.sequence),
                );
            }
        });
    }

    /** A control host answers if it leads when a quorum confirms it, with what was committed by then. */
    #asked(control: number, host: number, incarnation: number, sequence: number): void {
        const term = this.#controlHost(control).term;
        if (term === undefined) {
            return;
        }
        this.#after(this.#delay(), () => {
            const isConfirmed = this.#options.answersUnconfirmed === true || term === this.#term;
            const { configuration } = this.#controlHost(control);
            if (isConfirmed) {
                const answer = () => this.#answered(host, incarnation, sequence, configuration.number);
                this.#send(`c${control}>h${host}`, host, () => this.#onHost(host, answer));
                this.#sendConfiguration(control, host);
            }
        });
    }

    #answered(host: number, incarnation: number, sequence: number, number: number): void {
        const { lease, incarnation: current } = this.#host(host);
        if (incarnation !== current) {
            return;
        }
        if (this.#options.countsFromArrival === true) {
            lease.requestNow();
            lease.answered(lease.nextRequest(this.#clock(host))?.sequence ?? sequence, number);
            return;
        }
        lease.answered(sequence, number);
    }

    #sendConfiguration(control: number, host: number): void {
        const { configuration } = this.#controlHost(control);
        this.#send(`c${control}>h${host}`, host, () =>
            this.#onHost(host, () => {
                const entry = this.#host(host);
                if (configuration.number > entry.configuration.number) {
                    entry.configuration = configuration;
                    entry.lease.configured(configuration.number);
                }
            }));
    }

    /** The leader of the current term commits a change that takes a key away or gives one back; it is acknowledged later. */
    #changeConfiguration(): void {
        const leader = this.#control.findIndex(({ term }) => term === this.#term);
        const key = this.#random.below(KEYS);
        const keys = new Set(this.#newest.keys);
        const isRevocation = keys.delete(key);
        if (!isRevocation) {
            keys.add(key);
            this.#revokedAt.delete(key);
        }
        this.#newest = { number: this.#newest.number + 1 + this.#random.below(5), keys };
        this.#controlHost(leader).configuration = this.#newest;
        this.#hosts.forEach((_, host) => this.#sendConfiguration(leader, host));
        const { number } = this.#newest;
        this.#after(this.#delay(), () => {
            if (isRevocation && !this.#newest.keys.has(key)) {
                this.revocations += 1;
                this.#revokedAt.set(key, Math.min(this.#now, this.#revokedAt.get(key) ?? this.#now));
            }
        });
        this.#after(this.#delay(), () => this.#replicate(number));
    }

    /** Followers learn of a committed configuration. */
    #replicate(number: number): void {
        for (const control of this.#control) {
            if (control.term === undefined && control.configuration.number < number) {
                control.configuration = this.#newest;
            }
        }
    }

    #fail(): void {
        const host = this.#random.below(HOSTS);
        const kinds: readonly (() => void)[] = [
            () => this.#cut(host, true, true),
            () => this.#cut(host, true, false),
            () => this.#cut(host, false, true),
            () => (this.#host(host).frozenUntil = this.#now + this.#random.unit() * 10_000),
            () => (this.#host(host).slowUntil = this.#now + this.#random.unit() * 10_000),
            () => this.#restart(host),
            () => this.#elect(),
        ];
        kinds[this.#random.below(kinds.length)]?.();
    }

    /** Cuts a host off from all control hosts or some of them, in one direction or both, for up to 12 s. */
    #cut(host: number, isOutbound: boolean, isInbound: boolean): void {
        const isPartial = this.#random.below(2) === 0;
        const links = this.#control.flatMap((_, control) =>
            isPartial && this.#random.below(2) === 0 ? [] : [
                ...(isOutbound ? [`h${host}>c${control}`] : []),
                ...(isInbound ? [`c${control}>h${host}`] : []),
            ]
        );
        links.forEach(link => this.#cuts.add(link));
        this.#after(this.#random.unit() * 12_000, () => links.forEach(link => this.#cuts.delete(link)));
    }

    /** The new process starts with the configuration of any control host and without a lease. */
    #restart(host: number): void {
        const entry = this.#host(host);
        entry.incarnation += 1;
        entry.configuration = this.#controlHost(this.#random.below(CONTROL_HOSTS)).configuration;
        entry.lease = startedLease(entry.configuration);
        entry.frozenUntil = this.#now;
    }

    /** Another control host becomes the leader; the former one learns of it up to 8 s later. */
    #elect(): void {
        const former = this.#control.findIndex(({ term }) => term === this.#term);
        const next = (former + 1 + this.#random.below(CONTROL_HOSTS - 1)) % CONTROL_HOSTS;
        const formerTerm = this.#term;
        this.#term += 1;
        this.#controlHost(next).term = this.#term;
        this.#controlHost(next).configuration = this.#newest;
        this.#after(this.#random.unit() * 8_000, () => {
            if (this.#controlHost(former).term === formerTerm) {
                this.#controlHost(former).term = undefined;
                this.#controlHost(former).configuration = this.#newest;
            }
        });
    }

    #send(link: string, host: number, deliver: () => void): void {
        if (!this.#cuts.has(link)) {
            const isSlow = this.#host(host).slowUntil > this.#now;
            this.#after(isSlow ? this.#random.unit() * MAX_SLOW_DELAY_MS : this.#delay(), deliver);
        }
    }

    /** Runs something on a host once it is not frozen. */
    #onHost(host: number, run: () => void): void {
        const { frozenUntil } = this.#host(host);
        if (frozenUntil > this.#now) {
            this.#after(frozenUntil - this.#now, () => this.#onHost(host, run));
        }
        else {
            run();
        }
    }

    #every(intervalMs: number, run: () => void): void {
        this.#after(intervalMs * (0.5 + this.#random.unit()), () => {
            run();
            this.#every(intervalMs, run);
        });
    }

    #after(delayMs: number, run: () => void): void {
        this.#events.at(delayMs, run);
    }

    get #now(): number {
        return this.#events.now;
    }

    #clock(host: number): number {
        return this.#now * this.#host(host).rate;
    }

    #host(index: number): EntryHost {
        return this.#hosts[index] as EntryHost;
    }

    #controlHost(index: number): ControlHost {
        return this.#control[index] as ControlHost;
    }

    #delay(): number {
        return this.#random.unit() * MAX_MESSAGE_DELAY_MS;
    }
}

function startedLease({ number }: Configuration): KeyLease {
    const lease = new KeyLease(REVOCATION_MS);
    lease.configured(number);
    return lease;
}
