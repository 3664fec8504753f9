// A primary is to be replaced in a service whose commits a replica has to receive; the chosen replica receives nothing
// for a while just after it was chosen.
import { Backend, Platform, Service } from "../stand-ins-3/backends.mjs";
import { Session } from "../stand-ins-3/client.mjs";
import { createConfiguration, createRecord, Fleet, hasTrouble, Operator, pause } from "../stand-ins-3/fleet.mjs";

const BOUNDS = {
    seed_lag_s: 3,
    address_reuse_s: 2,
    contact_ms: 4000,
    ack_timeout_ms: 5000,
    catch_up_s: 4,
    drain_period_ms: 7000,
    grace_period_s: 6,
    loss_slack_ms: 200,
    config_apply_ms: 3000,
    downgrade_slack_ms: 250,
    max_stretch_ms: 12000,
    recovery_s: 12,
    require_fencing: true,
    thaw_slack_ms: 300,
};
const ZONES = ["ams", "utr", "ehv"];
/** As in the list of troubles of the site: replica_lag, count 1, how deaf, for_s 6.5. */
const DEAF_MS = 6_500;
const DEAF_AFTER_ORDER_MS = Number(process.env.DEAF_AFTER ?? 100);
const CLIENTS = 6;

const record = createRecord(process.argv[2]);
const fleet = await Fleet.create({
    record,
    zones: ZONES,
    entriesPerZone: 1,
    controlPerZone: 1,
    bounds: BOUNDS,
    tolerance: { machines: 1, zones: 1, regions: 0 },
});
const control = () => fleet.control.map(machine => machine.service);
const operator = new Operator(record, control);
const service = new Service("seatbook", { record, control, syncReplicas: 1, promoteMs: 600 });
const platform = new Platform(fleet.authority, [service], record);
const createBackend = (id, zone, isPrimary) =>
    service.add(new Backend(service, { id, ip: fleet.ip(ZONES.indexOf(zone) + 1, 200 + service.backends.length), zone, isPrimary }));

let code = 2;
let isEnding = false;
const acknowledged = new Set();
let unknown = 0;

/** Writes again and again, one statement at a time, through the entry machine. */
async function runClient(number) {
    let session;
    for (let count = 0; !isEnding; count += 1) {
        if (session === undefined || session.isClosed) {
            session = new Session(fleet.entries[number % fleet.entries.length].service, "seats");
            const started = await session.started;
            if (started?.ok !== true) {
                session.close();
                session = undefined;
                await pause(100);
                continue;
            }
        }
        const id = `w${number}x${count}`;
        const answer = await session.query(id, `WRITE item${number} value${count}`);
        if (answer?.ok === true) {
            acknowledged.add(id);
            record(`client ${number}: ${id} is acknowledged`);
        }
        else {
            unknown += 1;
            record(`client ${number}: ${id}: ${answer?.text ?? "no answer"}`);
            await pause(50);
        }
        if (answer === undefined) {
            session.close();
            session = undefined;
        }
        await pause(10);
    }
    session?.close();
}

try {
    await platform.listening;
    fleet.startAll();
    const document = createConfiguration(1, {
        routes: [{ host: "seats", route_kind: "primary", service: "seatbook" }],
        services: [{ name: "seatbook", sync_replicas: 1 }],
    });
    if (await operator.change(document, 15_000) === undefined) {
        throw new Error("the first configuration is not acknowledged");
    }
    createBackend("i-p", "ams", true);
    createBackend("i-a", "utr", false);
    createBackend("i-b", "ehv", false);
    await Promise.all(service.backends.map(backend => backend.start()));
    await pause(3_000);
    const clients = Array.from({ length: CLIENTS }, (_, number) => runClient(number));
    await pause(3_000);
    if (acknowledged.size === 0) {
        throw new Error("no write is acknowledged");
    }
    platform.ordered = (_, backend) => {
        if (hasTrouble) {
            setTimeout(() => {
                backend.isDeaf = !backend.isPrimary;
                record(`${backend.id} receives nothing for ${DEAF_MS} ms`);
                setTimeout(() => {
                    backend.isDeaf = false;
                    service.catchUp(backend);
                }, DEAF_MS);
            }, DEAF_AFTER_ORDER_MS);
        }
    };
    record("the primary i-p is to be replaced");
    await service.backends[0].drain();
    await pause(6_000);
    isEnding = true;
    await Promise.all(clients);
    const kept = new Set(service.primary.log.flatMap(entry => entry.ids));
    const lost = [...acknowledged].filter(id => !kept.has(id));
    record(`${acknowledged.size} writes acknowledged, ${unknown} not; primary ${service.primary.id}, term ${service.term}`);
    record(lost.length > 0 ? `BROKEN: ${lost.length} acknowledged commits are lost: ${lost.slice(0, 10).join(" ")}` : "held: all acknowledged commits are in the log");
    if (service.term < 2) {
        throw new Error("nothing was promoted");
    }
    code = lost.length > 0 ? 1 : 0;
}
catch (error) {
    record(`could not run: ${error.stack}`);
}
service.backends.forEach(backend => backend.stop());
platform.close();
await fleet.stopAll();
process.exit(code);
