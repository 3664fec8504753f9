// Starts the project's own programs on loopback addresses, with settings like those that the platform gives.
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Writes timestamped lines to record.txt and to standard output. */
export class Record {
    #path;
    #startedAt = performance.now();

    constructor(folder) {
        this.#path = join(folder, "record.txt");
        writeFileSync(this.#path, "");
    }

    write(text) {
        const line = `${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`;
        appendFileSync(this.#path, line);
        process.stdout.write(line);
    }
}

/** Returns the command of a role in the deploy file. */
function commandOf(role) {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1].split("\n[")[0];
    return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

function isFree(host, port) {
    return new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });
}

/** Loopback addresses on which the ports of all machines are free. */
async function freeNetwork(ports) {
    for (let attempt = 0; attempt < 50; attempt += 1) {
        const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
        const checks = await Promise.all(ports.map(port => isFree(`${net}.10`, port)));
        if (checks.every(Boolean)) {
            return net;
        }
    }
    throw new Error("no free ports");
}

/** A small deployment: machines with one process each. */
export class System {
    static async create(record, { bounds = {}, zones = ["ams", "utr", "ehv"], cloud, drop = false } = {}) {
        const net = await freeNetwork([8782, 8784, 8785, 7440, 7441]);
        return new System(record, net, bounds, zones, cloud);
    }

    constructor(record, net, bounds, zones, cloud) {
        this.record = record;
        this.net = net;
        this.zones = zones;
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.cloud = cloud ?? `${net}.200:8783`;
        this.machines = new Map();
        this.seeds = [];
        this.bounds = {
            seed_lag_s: 3, address_reuse_s: 2, contact_ms: 4000, ack_timeout_ms: 5000, catch_up_s: 4,
            drain_period_ms: 7000, grace_period_s: 6, loss_slack_ms: 200, config_apply_ms: 3000,
            downgrade_slack_ms: 250, max_stretch_ms: 12000, recovery_s: 12, require_fencing: true,
            thaw_slack_ms: 300, ...bounds,
        };
    }

    /** Adds a machine; `start` runs its process. */
    add(name, role, index, zone = this.zones[index % this.zones.length]) {
        const ip = `${this.net}.${10 + index}`;
        const folder = join(this.folder, name);
        mkdirSync(folder, { recursive: true });
        const machine = { name, role, ip, zone, folder, process: undefined, dataFolder: join(folder, "data") };
        if (role === "control") {
            mkdirSync(machine.dataFolder);
        }
        this.machines.set(name, machine);
        return machine;
    }

    start(name, bootstrap) {
        const machine = this.machines.get(name);
        const { role, ip, zone, folder } = machine;
        const isControl = role === "control";
        const settings = {
            node_name: name, role, machine_class: isControl ? "core" : "frontend",
            serves: [isControl ? "control" : "frontend"], ip_address: ip, zone, region: "nl",
            zones: Object.fromEntries(this.zones.map(each => [each, "nl"])),
            listen_addresses: isControl
                ? { control_plane: `${ip}:8782` }
                : { frontend: `${ip}:8784`, readiness: `${ip}:8785` },
            internal_port_range: [7440, 7455], seed_nodes: this.seeds, bootstrap, counts_as_loss: isControl,
            limits: {
                cpu_share: isControl ? 0.81 : 0.675, cpu_cores: 1, memory_mb: 350, file_descriptors: 4300,
                link_mbps: 1000, disk_mb: isControl ? 128 : 0,
            },
            data_directory: isControl ? machine.dataFolder : null,
            discovery: "registration", entry_point: "virtual_ip", heartbeat_interval_ms: 1200,
            contracts: ["base", "drain", "config", "cost", "recover", "sql"],
            fault_tolerance: { machines: 1, zones: 1, regions: 0 }, bounds: this.bounds, config_mode: "highest",
            cloud_api: { address: this.cloud, rate_per_s: 50, duties: ["promotion"], duty_per_s: 50 },
        };
        const settingsPath = join(folder, "node.yaml");
        writeFileSync(settingsPath, JSON.stringify(settings));
        const [command, ...args] = commandOf(role);
        const child = spawn(command === "node" ? process.execPath : command, args, {
            cwd: ROOT, env: { PATH: process.env.PATH, HOME: folder, MEDLARLEDGE_SETTINGS: settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = data => appendFileSync(join(folder, "log.txt"), data);
        child.stdout.on("data", log);
        child.stderr.on("data", log);
        child.once("exit", (code, signal) => {
            if (machine.process === child) {
                machine.process = undefined;
                this.record.write(`${name} ended by itself: code ${code}, signal ${signal}`);
            }
        });
        machine.process = child;
        this.record.write(`start ${name} at ${ip}, bootstrap ${bootstrap}`);
    }

    signal(name, signal) {
        this.record.write(`${signal} to ${name}`);
        this.machines.get(name).process?.kill(signal);
    }

    /** Ends a process at once, as a loss of the machine. */
    kill(name) {
        const machine = this.machines.get(name);
        const child = machine.process;
        machine.process = undefined;
        this.record.write(`SIGKILL to ${name}`);
        child?.kill("SIGKILL");
        return new Promise(done => child === undefined ? done() : child.once("exit", done));
    }

    /** Stops a process as the platform does: SIGTERM, and SIGKILL after the grace time. */
    async terminate(name) {
        const machine = this.machines.get(name);
        const child = machine.process;
        machine.process = undefined;
        this.record.write(`SIGTERM to ${name}`);
        child.kill("SIGTERM");
        const timer = setTimeout(() => child.kill("SIGKILL"), this.bounds.grace_period_s * 1000);
        await new Promise(done => child.once("exit", done));
        clearTimeout(timer);
        this.record.write(`${name} has ended`);
    }

    /** Empties the machine's own data folder, inside the temporary folder of this case. */
    wipe(name) {
        const { dataFolder } = this.machines.get(name);
        this.record.write(`${name} loses its disk`);
        rmSync(dataFolder, { recursive: true, force: true });
        mkdirSync(dataFolder);
    }

    log(name) {
        return readFileSync(join(this.machines.get(name).folder, "log.txt"), "utf8");
    }

    async close() {
        for (const { process: child, name } of this.machines.values()) {
            if (child !== undefined) {
                this.machines.get(name).process = undefined;
                child.kill("SIGKILL");
            }
        }
        if (process.env.KEEP === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}
