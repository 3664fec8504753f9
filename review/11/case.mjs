// A group of six control machines that bears the loss of two loses two to a power cut, and two others their disks.
import { createConfiguration, createRecord, Fleet, hasTrouble, Operator, pause } from "../stand-ins-3/fleet.mjs";

// grown/LATER.md, verhaegen-pool-grown: the loss of 2 machines with a disk is to be borne.
const BOUNDS = {
    seed_lag_s: 3,
    address_reuse_s: 2,
    contact_ms: 5000,
    ack_timeout_ms: 6000,
    catch_up_s: 6,
    drain_period_ms: 7000,
    grace_period_s: 6,
    loss_slack_ms: 200,
    config_apply_ms: 4000,
    downgrade_slack_ms: 250,
    max_stretch_ms: 15000,
    recovery_s: 15,
    require_fencing: true,
    thaw_slack_ms: 300,
};
/** As in a standard day of that site: node_kill, on core, count 2, how power, for_s 7.0. */
const POWER_CUT_MS = 7_000;
/** Time from the power cut to the loss of the disks. */
const DISKS_LOST_AFTER_MS = 5_000;
const WIPED_DOWN_MS = 1_000;

const record = createRecord(process.argv[2]);
const fleet = await Fleet.create({
    record,
    zones: ["mechelen-a", "antwerp-b", "leuven-c"],
    entriesPerZone: 1,
    controlPerZone: 2,
    bounds: BOUNDS,
    tolerance: { machines: 2, zones: 1, regions: 0 },
});
const operator = new Operator(record, () => fleet.control.map(machine => machine.service));
const configuration = version =>
    createConfiguration(version, {
        routes: [{ host: "orders", route_kind: "primary", service: "orders-main" }],
        services: [{ name: "orders-main" }],
    });

/** The newest members that the logs of the machines tell; only used to choose the machines. */
function votersOf() {
    let newest = { index: -1, voters: [], learners: [] };
    for (const line of fleet.control.flatMap(machine => machine.log)) {
        if (line.includes("membersChanged")) {
            const entry = findMembers(JSON.parse(line));
            newest = entry !== undefined && entry.index >= newest.index ? entry : newest;
        }
    }
    return newest;
}

function findMembers(value) {
    if (typeof value !== "object" || value === null) {
        return undefined;
    }
    if (Array.isArray(value.voters)) {
        return value;
    }
    for (const inner of Object.values(value)) {
        const found = findMembers(inner);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}

const machineOf = member => fleet.control.find(({ ip }) => member.startsWith(`${ip}:`));

let code = 2;
try {
    fleet.startAll();
    if (await operator.change(configuration(1), 15_000) === undefined) {
        throw new Error("the first configuration is not acknowledged");
    }
    await pause(8_000);
    const before = votersOf();
    record(`voters ${before.voters.length}, learners ${before.learners.length}`);
    await operator.change(configuration(2), 6_000);
    let dark = [];
    let wiped = [];
    if (hasTrouble) {
        dark = before.voters.slice(-2).map(machineOf);
        record(`two machines lose power for ${POWER_CUT_MS} ms: ${dark.map(({ name }) => name).join(", ")}`);
        await Promise.all(dark.map(machine => machine.kill()));
        await pause(DISKS_LOST_AFTER_MS);
    }
    const during = votersOf();
    record(`voters ${during.voters.length}, learners ${during.learners.length}`);
    if (await operator.change(configuration(5), 6_000) === undefined) {
        throw new Error("the second configuration is not acknowledged");
    }
    if (hasTrouble) {
        const voters = during.voters.map(machineOf).filter(machine => !dark.includes(machine));
        wiped = voters.slice(0, 2);
        record(`two others lose their disks: ${wiped.map(({ name }) => name).join(", ")}`);
        await Promise.all(wiped.map(machine => machine.kill()));
        wiped.forEach(machine => machine.wipeDisk());
        await pause(WIPED_DOWN_MS);
        wiped.forEach(machine => machine.start());
        await pause(POWER_CUT_MS - DISKS_LOST_AFTER_MS - WIPED_DOWN_MS);
        dark.forEach(machine => machine.start());
        record(`all machines are back`);
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
