// A core machine is replaced: its successor has run for 10 s when the machine is gone for good, without SIGTERM. Half a
// second later another one loses its disk.
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
/** Time for which the successor has run when the replaced machine ends; `catch_up_s` is 4. */
const SUCCESSOR_MS = 10_000;
const DISK_LOST_AFTER_MS = Number(process.env.AFTER ?? 500);
const WIPED_DOWN_MS = 1_000;
const replaces = hasTrouble && process.env.REPLACE !== "0";
const wipes = hasTrouble && process.env.WIPE !== "0";

const record = createRecord(process.argv[2]);
const fleet = await Fleet.create({
    record,
    zones: ["ams", "utr", "ehv"],
    entriesPerZone: 1,
    controlPerZone: 1,
    bounds: BOUNDS,
    tolerance: { machines: 1, zones: 1, regions: 0 },
});
const running = new Set(fleet.control);
const operator = new Operator(record, () => [...running].map(machine => machine.service));
const configuration = version =>
    createConfiguration(version, {
        routes: [{ host: "seats", route_kind: "primary", service: "seatbook" }],
        services: [{ name: "seatbook" }],
    });

let code = 2;
try {
    fleet.startAll();
    if (await operator.change(configuration(1), 15_000) === undefined) {
        throw new Error("the first configuration is not acknowledged");
    }
    await pause(5_000);
    const [replaced, wiped] = fleet.control;
    if (replaces) {
        const successor = fleet.addControl("core-ams-2", "ams");
        record(`${successor.name} is added, the successor of ${replaced.name}`);
        successor.start();
        running.add(successor);
    }
    await pause(SUCCESSOR_MS);
    if (await operator.change(configuration(4), BOUNDS.ack_timeout_ms) === undefined) {
        throw new Error("the second configuration is not acknowledged");
    }
    if (replaces) {
        running.delete(replaced);
        record(`${replaced.name} is gone for good`);
        await replaced.kill();
        await pause(DISK_LOST_AFTER_MS);
    }
    if (wipes) {
        await wiped.kill();
        wiped.wipeDisk();
        await pause(WIPED_DOWN_MS);
        wiped.start();
        record("all machines are back");
    }
    await pause(BOUNDS.recovery_s * 1_000);
    // The operator asks repeatedly for at least contact_ms; here for twice as long.
    const version = await operator.readBack(2 * BOUNDS.contact_ms);
    const isKept = version !== undefined && version >= operator.acknowledged;
    if (!isKept) {
        await operator.change(configuration(9), BOUNDS.ack_timeout_ms);
    }
    record(isKept ? "held: the acknowledged configuration is read back" : "BROKEN: the acknowledged configuration does not come");
    code = isKept ? 0 : 1;
}
catch (error) {
    record(`could not run: ${error.stack}`);
}
await fleet.stopAll();
process.exit(code);
