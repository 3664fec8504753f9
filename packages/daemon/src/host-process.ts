import { type Credentials, PostgresConnector, readEndpoint } from "@medlarledge/postgres";
import type { Host } from "@medlarledge/protocol";
import { type Clock, type MeshEvent, PeerMesh, SYSTEM_CLOCK } from "@medlarledge/runtime";
import type { HostSettings } from "@medlarledge/settings";
import { type Log, Metrics } from "@medlarledge/telemetry";
import { mkdir } from "node:fs/promises";
import { BurnAlerts } from "./burn-alerts.js";
import { ConfigurationHolder } from "./configuration-holder.js";
import { ControlHost } from "./control-host.js";
import { ControlReports } from "./control-reports.js";
import { HostDatabases } from "./database-source.js";
import { PostgresOrders } from "./endpoint-orders.js";
import { EntryTask } from "./entry-task.js";
import { FolderProposals } from "./folder-proposals.js";
import { FolderWatch } from "./folder-watch.js";
import { HostGauges } from "./host-gauges.js";
import { HostLinks } from "./host-links.js";
import { buildRoutes } from "./http-routes.js";
import { HttpServer } from "./http-server.js";
import { type LocalFacts, localStatus, readinessOf } from "./local-status.js";
import { MessageRouter } from "./message-router.js";
import { describeHost } from "./self-host.js";
import { ServiceReporter } from "./service-reporter.js";
import { ServingHost } from "./serving-host.js";
import { CUT_OFF_LIMIT_MS, SlotTask } from "./slot-task.js";

const HOUSEKEEPING_MS = 1_000;
const DEFAULT_DRAIN_MS = 30_000;

/** How long a stopping host waits until the control hosts have its last service counts. */
const COUNTS_TIMEOUT_MS = 500;

/** How long a stopping host waits until control has ended its registration. */
const LEAVE_TIMEOUT_MS = 500;

export type StartFailure =
    | { readonly kind: "dataFolder"; readonly reason: string; }
    | { readonly kind: "peers"; readonly reason: string; }
    | { readonly kind: "http"; readonly reason: string; }
    | { readonly kind: "callers"; readonly reason: string; };

/** One process of the system: it builds the tasks, starts them in order and ends them in reverse. */
export class HostProcess {
    readonly #settings: HostSettings;
    readonly #log: Log;
    readonly #clock: Clock;
    readonly #self: Host;
    readonly #mesh: PeerMesh;
    readonly #links: HostLinks;
    readonly #reports: ControlReports;
    readonly #metrics: Metrics;
    readonly #gauges: HostGauges;
    readonly #alerts: BurnAlerts;
    readonly #configuration: ConfigurationHolder;
    readonly #connector: PostgresConnector;
    readonly #entry: EntryTask;
    readonly #slots: SlotTask;
    readonly #databases: HostDatabases;
    readonly #reporter: ServiceReporter;
    readonly #control: ControlHost | undefined;
    readonly #router: MessageRouter;
    readonly #http: HttpServer;
    readonly #folder: FolderProposals | undefined;
    readonly #failed: (reason: string) => void;
    #serving: ServingHost | undefined;
    #housekeeping: NodeJS.Timeout | undefined;
    #draining = false;

    /** `failed` is called when the process cannot go on, for example with a broken disk. */
    constructor(settings: HostSettings, log: Log, failed: (reason: string) => void, clock: Clock = SYSTEM_CLOCK) {
        this.#settings = settings;
        this.#log = log;
        this.#clock = clock;
        this.#failed = failed;
        this.#self = describeHost(settings);
        this.#mesh = new PeerMesh({ self: this.#self, identity: settings.tls, clock, log });
        this.#links = new HostLinks({
            self: this.#self,
            mesh: this.#mesh,
            control: settings.control,
            loopback: message => this.#router.receive(this.#self, message),
        });
        this.#metrics = new Metrics({
            host: settings.id,
            dataCentre: settings.dataCentre,
            address: settings.statsdAddress,
        });
        this.#gauges = new HostGauges(this.#metrics);
        this.#alerts = new BurnAlerts(log);
        this.#configuration = new ConfigurationHolder(settings.dataFolder);
        this.#connector = new PostgresConnector(() => this.#credentials());
        const listed = settings.control.map(member => member.id);
        this.#reporter = new ServiceReporter(listed, (to, message) => this.#links.send(to, message));
        this.#reports = new ControlReports({
            log,
            configuration: this.#configuration,
            reporter: this.#reporter,
            send: (to, message) => this.#links.send(to, message),
            failed,
        });
        this.#entry = this.#buildEntry(listed);
        this.#slots = this.#buildSlots();
        this.#databases = new HostDatabases(this.#self, this.#entry, this.#slots, this.#configuration);
        this.#control = this.#buildControl(listed);
        this.#router = new MessageRouter({
            entry: this.#entry,
            slots: this.#slots,
            reporter: this.#reporter,
            control: this.#control,
            cancel: (processId, secretKey) => this.#serving?.cancelLocal(processId, secretKey),
            send: (to, message) => this.#links.send(to, message),
        });
        this.#http = this.#buildHttp();
        this.#folder = this.#buildFolder();
    }

    /** Starts everything. On a failure nothing is left listening. */
    async start(): Promise<StartFailure | undefined> {
        const failure = await this.#startTasks();
        if (failure === undefined) {
            this.#log.event("hostStarted", { ...this.#self });
        }
        else {
            await this.#close();
        }
        return failure;
    }

    /** Stops gracefully: readiness first, then the listener, then what still runs, within the drain time. */
    async stop(): Promise<{ readonly cut: number; }> {
        this.#draining = true;
        this.#log.event("hostStopping");
        this.#entry.drain();
        const drainMs = this.#configuration.inForce?.configuration.limits.drainMs ?? DEFAULT_DRAIN_MS;
        const cut = await this.#serving?.drain(drainMs) ?? 0;
        this.#reporter.flush(this.#clock.wallClock());
        await Promise.all([this.#reporter.settled(COUNTS_TIMEOUT_MS), this.#entry.leave(LEAVE_TIMEOUT_MS)]);
        await this.#close();
        this.#log.event("hostStopped", { cut });
        return { cut };
    }

    async #startTasks(): Promise<StartFailure | undefined> {
        if (this.#settings.dataFolder !== undefined) {
            await mkdir(this.#settings.dataFolder, { recursive: true });
        }
        const opened = await this.#configuration.restore(this.#clock.wallClock()) ?? await this.#control?.open();
        if (opened !== undefined) {
            this.#log.event("storeFailed", { reason: opened });
            return { kind: "dataFolder", reason: opened };
        }
        void this.#mesh.events.observe(event => this.#meshEvent(event));
        const peers = await this.#mesh.listen();
        if (peers !== undefined) {
            return { kind: "peers", reason: peers };
        }
        this.#links.connectToControl();
        const http = await this.#http.listen();
        if (http !== undefined) {
            return { kind: "http", reason: http };
        }
        this.#entry.start();
        this.#slots.start();
        // Waits for the other control hosts on a first start, so it must not hold up the rest.
        void this.#control?.start().then(reason => this.#controlStarted(reason));
        return this.#startServing();
    }

    async #startServing(): Promise<StartFailure | undefined> {
        this.#serving = await ServingHost.create({
            self: this.#self,
            settings: this.#settings,
            configuration: () => this.#configuration.inForce?.configuration,
            source: this.#databases,
            connector: this.#connector,
            clock: this.#clock,
            log: this.#log,
            metrics: this.#metrics,
            observed: (endpoint, outcome) => this.#entry.observed(endpoint, outcome),
            stalled: endpoint => void this.#entry.probe(endpoint),
            slotsWanted: (endpoint, wanted, running) => this.#slots.wanted(endpoint, wanted, running),
            served: (database, count) => this.#reporter.add(database, count),
            forwardCancel: (processId, secretKey) =>
                this.#links.forwardCancel(this.#entry.view.hosts, processId, secretKey),
        });
        const reason = await this.#serving.listen();
        if (reason !== undefined) {
            return { kind: "callers", reason };
        }
        this.#serving.prepare();
        this.#folder?.start();
        this.#housekeeping = setInterval(() => this.#housekeep(), HOUSEKEEPING_MS);
        return undefined;
    }

    #controlStarted(reason: string | undefined): void {
        if (reason !== undefined) {
            this.#log.event("storeFailed", { reason });
            this.#failed(reason);
            return;
        }
        this.#control?.control?.hostConnected(this.#self);
        this.#mesh.connected().forEach(host => this.#control?.control?.hostConnected(host));
    }

    #buildEntry(listed: readonly string[]): EntryTask {
        return new EntryTask({
            self: this.#self,
            timing: this.#settings.timing,
            listed,
            configuration: this.#configuration,
            clock: this.#clock,
            log: this.#log,
            send: (to, message) => this.#links.send(to, message),
            probe: (endpoint, timeoutMs) => readEndpoint(this.#connector, endpoint, timeoutMs),
            changed: () => this.#changed(),
        });
    }

    #buildSlots(): SlotTask {
        return new SlotTask({
            hostId: this.#self.id,
            view: this.#entry.view,
            clock: this.#clock,
            lastLeaseAt: () => this.#entry.lastLeaseAt(),
            send: (to, message) => this.#links.send(to, message),
            connect: (id, address) => this.#mesh.keepConnected(id, address),
            changed: () => this.#databases.changed(),
        });
    }

    #buildControl(listed: readonly string[]): ControlHost | undefined {
        const { dataFolder } = this.#settings;
        if (dataFolder === undefined || !listed.includes(this.#self.id)) {
            return undefined;
        }
        return new ControlHost({
            self: this.#self,
            settings: this.#settings,
            dataFolder,
            configuration: this.#configuration,
            orders: new PostgresOrders(this.#connector, this.#credentials()),
            clock: this.#clock,
            log: this.#log,
            send: (to, message) => this.#links.send(to, message),
            report: report => this.#reports.handle(report),
        });
    }

    #buildFolder(): FolderProposals | undefined {
        const { watchFolder, operator } = this.#settings;
        if (watchFolder === undefined) {
            return undefined;
        }
        const watch = new FolderWatch(watchFolder, operator);
        return new FolderProposals(watch, this.#entry, this.#configuration, this.#log);
    }

    #buildHttp(): HttpServer {
        const { httpAddress, announceKey, operatorToken } = this.#settings;
        return new HttpServer({
            address: httpAddress,
            announceKey,
            operatorToken,
            refused: reason => this.#log.event("announcementRefused", { reason }),
            routes: buildRoutes({
                entry: this.#entry,
                readiness: () => readinessOf(this.#facts()),
                localStatus: () => localStatus(this.#facts()),
                burn: () => this.#control?.burn(),
                announced: endpoint => this.#log.event("endpointAnnounced", { endpoint }),
                configurationAnswered: (change, answer) =>
                    this.#log.event("configurationAnswered", { number: change.number, answer }),
            }),
        });
    }

    #credentials(): Credentials {
        return { user: this.#settings.endpointUser, password: this.#settings.endpointPassword };
    }

    #meshEvent(event: MeshEvent): void {
        if (event.kind === "message") {
            this.#router.receive(event.from, event.message);
        }
        else if (event.kind === "connected") {
            this.#control?.control?.hostConnected(event.host);
        }
        else {
            this.#control?.control?.hostDisconnected(event.host);
        }
    }

    #changed(): void {
        this.#databases.changed();
        this.#serving?.prepare();
    }

    #housekeep(): void {
        const now = this.#clock.now();
        const wallClock = this.#clock.wallClock();
        this.#reporter.tick(now, wallClock);
        void this.#control?.services.tick(now, wallClock);
        if (this.#entry.cutOffForMs() > CUT_OFF_LIMIT_MS) {
            this.#databases.changed();
        }
        if (this.#control?.mustJoin === true) {
            void this.#entry.request("joinGroup", this.#control.memberId, HOUSEKEEPING_MS);
        }
        const isLeader = this.#control?.control?.isLeader ?? false;
        const { hasLease, proxy, traffic } = this.#facts();
        this.#gauges.send({ hasLease, configurationNumber: this.#configuration.number, isLeader, proxy, traffic });
        if (this.#control !== undefined && isLeader) {
            const control = this.#control;
            this.#alerts.tick(now, () => control.burn());
        }
    }

    #facts(): LocalFacts {
        return {
            self: this.#self,
            draining: this.#draining,
            hasLease: this.#entry.hasLease(),
            viewComplete: this.#entry.view.complete,
            inForce: this.#configuration.inForce,
            proxy: this.#serving?.status(),
            traffic: this.#mesh.traffic(),
        };
    }

    async #close(): Promise<void> {
        clearInterval(this.#housekeeping);
        await this.#folder?.close();
        await this.#serving?.close();
        this.#entry.stop();
        this.#slots.stop();
        await this.#control?.close();
        await this.#http.close();
        await this.#mesh.close();
        await this.#configuration.saved();
        await this.#metrics.close();
    }
}
