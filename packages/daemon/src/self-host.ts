import type { Host } from "@medlarledge/protocol";
import type { HostSettings } from "@medlarledge/settings";
import { randomBytes } from "node:crypto";

/** Describes this process to the others, with an incarnation of its own. */
export function describeHost(settings: HostSettings): Host {
    return {
        id: settings.id,
        incarnation: randomBytes(8).toString("hex"),
        dataCentre: settings.dataCentre,
        peerAddress: settings.peerAddress,
        httpAddress: settings.httpAddress,
        callerAddress: settings.callerAddress,
        control: settings.control.some(member => member.id === settings.id),
    };
}
