// Starts the programs of deploy/system.toml as processes on loopback addresses, with settings as the platform writes
// them, and records what happens.
import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { appendFileSync, createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const CONTROL_PORT = 8782;
const ENTRY_PORT = 8784;
const READINESS_PORT = 8785;
const PLATFORM_PORT = 8783;
const FIRST_PEER_PORT = 7440;

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));
export const hasTrouble = process.env.TROUBLE !== "0";

/** Creates the function that writes lines with the time since the start to record.txt. */
export function createRecord(file) {
    const startedAt = performance.now();
    writeFileSync(file, "");
    return text => {
        const line = `${((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8)} ${text}`;
        appendFileSync(file, `${line}\n`);
        if (process.env.VERBOSE === "1") {
            console.log(line);
        }
    };
}

/** Returns the command of a role in deploy/system.toml. */
function commandOf(role) {
    const section = readFileSync("deploy/system.toml", "utf8").split(`[roles.${role}]`)[1] ?? "";
    const run = /^run = "([^"]+)"/m.exec(section);
    if (run === null) {
        throw new Error(`deploy/system.toml has no command for ${role}`);
    }
    return run[1].split(" ");
}

function isFree(host, port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}

/** Returns a number N such that nothing listens on the addresses 127.N.x.x that are used. */
async function freeNetwork() {
    for (let attempt = 0; attempt < 50; attempt++) {
        const network = randomInt(20, 250);
        const used = [1, 2, 3].flatMap(zone => [1, 2, 101].map(host => `127.${network}.${zone}.${host}`));
        const ports = [CONTROL_PORT, ENTRY_PORT, FIRST_PEER_PORT, FIRST_PEER_PORT + 1, 9_464, 9_465];
        const checks = used.flatMap(host => ports.map(port => isFree(host, port)));
        if ((await Promise.all([...checks, isFree(`127.${network}.0.1`, PLATFORM_PORT)])).every(Boolean)) {
            return network;
        }
    }
    throw new Error("no free loopback network");
}

/** One machine with one process. */
class Machine {
    constructor(fleet, options) {
        this.fleet = fleet;
        Object.assign(this, options);
        this.folder = join(fleet.folder, this.name);
        this.disk = join(this.folder, "disk");
        mkdirSync(this.disk, { recursive: true });
        this.starts = 0;
        this.log = [];
    }

    get service() {
        return `${this.ip}:${this.role === "control" ? CONTROL_PORT : ENTRY_PORT}`;
    }

    get readiness() {
        return `${this.ip}:${READINESS_PORT}`;
    }

    start() {
        const { fleet, role, name } = this;
        this.starts += 1;
        writeFileSync(join(this.folder, "settings.json"), JSON.stringify(fleet.settingsOf(this)));
        const [program, ...args] = commandOf(role);
        const command = program === "node" ? process.execPath : program;
        const child = spawn(command, args, {
            env: { PATH: process.env.PATH, HOME: this.folder, MEDLARLEDGE_SETTINGS: join(this.folder, "settings.json") },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const file = createWriteStream(join(this.folder, "log.jsonl"), { flags: "a" });
        let rest = "";
        child.stdout.on("data", chunk => {
            file.write(chunk);
            const lines = (rest + chunk.toString()).split("\n");
            rest = lines.pop() ?? "";
            this.log.push(...lines);
        });
        child.stderr.pipe(file, { end: false });
        child.once("exit", (code, signal) => {
            fleet.children.delete(child);
            if (this.child === child) {
                this.child = undefined;
            }
            fleet.record(`${name}: process ended (${signal ?? code})`);
        });
        fleet.children.add(child);
        this.child = child;
        fleet.record(`${name}: process started`);
    }

    signal(signal) {
        this.fleet.record(`${this.name}: ${signal}`);
        this.child?.kill(signal);
    }

    /** Kills the process and waits until it is gone. */
    async kill() {
        const child = this.child;
        if (child !== undefined) {
            const gone = new Promise(resolve => child.once("exit", resolve));
            this.signal("SIGKILL");
            await gone;
        }
    }

    wipeDisk() {
        rmSync(this.disk, { recursive: true, force: true });
        mkdirSync(this.disk, { recursive: true });
        this.fleet.record(`${this.name}: its disk is empty now`);
    }
}

/** The machines of a small deployment. */
export class Fleet {
    static async create({ record, zones, entriesPerZone, controlPerZone, bounds, tolerance, authority }) {
        const fleet = new Fleet();
        fleet.record = record;
        fleet.zones = zones;
        fleet.bounds = bounds;
        fleet.tolerance = tolerance;
        fleet.network = await freeNetwork();
        fleet.folder = mkdtempSync(join(tmpdir(), "review-3-"));
        fleet.children = new Set();
        fleet.authority = authority ?? `127.${fleet.network}.0.1:${PLATFORM_PORT}`;
        fleet.control = zones.flatMap((zone, z) =>
            Array.from({ length: controlPerZone }, (_, n) =>
                new Machine(fleet, { name: `core-${zone}-${n + 1}`, role: "control", zone, ip: fleet.ip(z + 1, n + 1) }))
        );
        fleet.entries = zones.flatMap((zone, z) =>
            Array.from({ length: entriesPerZone }, (_, n) =>
                new Machine(fleet, { name: `frontend-${zone}-${n + 1}`, role: "entry", zone, ip: fleet.ip(z + 1, n + 101) }))
        );
        process.on("exit", () => fleet.children.forEach(child => child.kill("SIGKILL")));
        for (const signal of ["SIGINT", "SIGTERM"]) {
            process.on(signal, () => process.exit(2));
        }
        return fleet;
    }

    ip(second, third) {
        return `127.${this.network}.${second}.${third}`;
    }

    settingsOf(machine) {
        const isControl = machine.role === "control";
        // One seed of each zone, as the platform lists three machines.
        const seeds = this.zones.flatMap(zone => this.control.find(host => host.zone === zone) ?? []).slice(0, 3);
        return {
            node_name: machine.name,
            role: machine.role,
            machine_class: isControl ? "core" : "frontend",
            serves: [isControl ? "control" : "frontend"],
            ip_address: machine.ip,
            zone: machine.zone,
            region: "region",
            zones: Object.fromEntries(this.zones.map(zone => [zone, "region"])),
            listen_addresses: isControl
                ? { control_plane: machine.service }
                : { frontend: machine.service, readiness: machine.readiness },
            internal_port_range: [FIRST_PEER_PORT, FIRST_PEER_PORT + 15],
            seed_nodes: seeds.map(host => host.service),
            bootstrap: machine.starts === 1 && machine.isNew !== true,
            counts_as_loss: isControl,
            limits: { cpu_share: 1, cpu_cores: 1, memory_mb: 350, file_descriptors: 4096, link_mbps: 1000, disk_mb: isControl ? 128 : 0 },
            data_directory: isControl ? machine.disk : null,
            discovery: "registration",
            entry_point: "virtual_ip",
            heartbeat_interval_ms: 1200,
            contracts: ["base", "drain", "config", "cost", "recover", "sql"],
            fault_tolerance: this.tolerance,
            bounds: this.bounds,
            config_mode: "highest",
            cloud_api: { address: this.authority, rate_per_s: 50, duties: ["promotion"], duty_per_s: 50 },
        };
    }

    /** Adds a control machine with an empty disk at a new address; it is not started yet. */
    addControl(name, zone) {
        const third = 50 + this.control.length;
        const machine = new Machine(this, { name, role: "control", zone, ip: this.ip(this.zones.indexOf(zone) + 1, third) });
        machine.isNew = true;
        this.control.push(machine);
        return machine;
    }

    startAll() {
        [...this.control, ...this.entries].forEach(machine => machine.start());
    }

    async stopAll() {
        await Promise.all([...this.control, ...this.entries].map(machine => machine.kill()));
        if (process.env.KEEP !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
        else {
            console.log(this.folder);
        }
    }
}

/** The operator: sends configurations to the control machines in turn and reads them back. */
export class Operator {
    constructor(record, addresses) {
        this.record = record;
        this.addresses = addresses;
        this.next = 0;
        this.acknowledged = 0;
    }

    async call(method, path, body, address) {
        try {
            const response = await fetch(`http://${address}${path}`, {
                method,
                ...(body === undefined ? {} : { body, headers: { "content-type": "application/json" } }),
                signal: AbortSignal.timeout(1_000),
            });
            return { code: response.status, body: await response.text() };
        }
        catch {
            return undefined;
        }
    }

    /** Sends a configuration until it is acknowledged. Returns the address that acknowledged it, or undefined. */
    async change(document, limitMs) {
        const endAt = performance.now() + limitMs;
        const body = JSON.stringify(document);
        while (performance.now() < endAt) {
            const list = this.addresses();
            const address = list[this.next++ % list.length];
            const answer = await this.call("POST", "/v1/Config.Replace", body, address);
            if (answer?.code === 200) {
                this.acknowledged = Math.max(this.acknowledged, document.version);
                this.record(`operator: version ${document.version} is acknowledged by ${address}`);
                return address;
            }
            if (answer !== undefined && answer.code < 500) {
                this.record(`operator: version ${document.version} is refused with ${answer.code} ${answer.body}`);
                return undefined;
            }
            await pause(100);
        }
        this.record(`operator: version ${document.version} is not acknowledged in ${limitMs} ms`);
        return undefined;
    }

    /** Reads the configuration at any machine until one answers with 200. Returns its version, or undefined. */
    async readBack(limitMs) {
        const endAt = performance.now() + limitMs;
        const codes = new Map();
        while (performance.now() < endAt) {
            const list = this.addresses();
            const answer = await this.call("GET", "/v1/Config.Read", undefined, list[this.next++ % list.length]);
            if (answer?.code === 200) {
                const { version } = JSON.parse(answer.body);
                this.record(`operator: version ${version} is read back`);
                return version;
            }
            const code = answer?.code ?? "no response";
            codes.set(code, (codes.get(code) ?? 0) + 1);
            await pause(200);
        }
        this.record(`operator: no configuration is read in ${limitMs} ms: ${JSON.stringify([...codes])}`);
        return undefined;
    }
}

/** A configuration as the operator sends it. */
export function createConfiguration(version, { routes, services, limits = {} }) {
    return {
        version,
        routes: routes.map(route => ({
            name: `r-${route.host}`,
            path_prefix: "/",
            timeout_ms: 800,
            target_latency_ms: 150,
            priority: 1,
            max_attempts: 2,
            ...route,
        })),
        services: services.map(service => ({
            connection_limit: 41,
            health_path: "/health",
            protocol: "h1",
            tls: false,
            sync_replicas: 0,
            ...service,
        })),
        limits: {
            max_header_bytes: 16384,
            max_body_bytes: 262144,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
            transaction_idle_ms: 3000,
            ...limits,
        },
    };
}
