import type { ConfigurationFile } from "@medlarledge/protocol";
import type { LocalCluster } from "../cluster/local-cluster.js";
import type { BenchContext } from "./measure.js";

const DATA_CENTRES = ["mechelen", "antwerp", "leuven"] as const;

export interface UserClusterOptions {
    readonly databases: readonly string[];
    readonly lagMs?: number;
    readonly statementMs?: number;
    /** One-way delay between hosts, and between hosts and endpoints. */
    readonly delayMs?: number;
    /** 3 by default. */
    readonly controlHosts?: number;
    /** Entry hosts besides the control hosts. */
    readonly entryHosts?: number;
    readonly slots?: number;
    readonly connections?: number;
    readonly databaseSettings?: Readonly<Record<string, object>>;
}

/** Three data centres with a control host and an endpoint of each database, ready to serve. */
export async function startUserCluster(context: BenchContext, options: UserClusterOptions): Promise<LocalCluster> {
    const control = DATA_CENTRES.slice(0, options.controlHosts).map(dataCentre => ({
        id: `${dataCentre}-1`,
        dataCentre,
        control: true,
    }));
    const others = Array.from({ length: options.entryHosts ?? 0 }, (_, index) => {
        const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? "";
        return { id: `entry-${index + 1}`, dataCentre, control: false };
    });
    const cluster = await context.startCluster({
        hosts: [...control, ...others],
        databases: options.databases,
        endpointPlaces: DATA_CENTRES,
        slots: options.slots ?? 2,
        connections: options.connections ?? 16,
        ...(options.lagMs === undefined ? {} : { lagMs: options.lagMs }),
        ...(options.statementMs === undefined ? {} : { statementMs: options.statementMs }),
        ...(options.delayMs === undefined ? {} : { delayMs: options.delayMs }),
    });
    const databases = options.databaseSettings
        ?? Object.fromEntries(options.databases.map(name => [name, { acknowledge: "primary" }]));
    await cluster.until("a leader accepts the configuration", async () => {
        const outcome = await cluster.apply(1, configurationFiles(1, databases));
        return outcome === "accepted" || outcome === "alreadyAccepted";
    });
    await cluster.ready();
    return cluster;
}

/** A configuration folder with these settings of the databases. */
export function configurationFiles(
    number: number,
    databases: Readonly<Record<string, object>>,
): readonly ConfigurationFile[] {
    return [
        { name: "00-number.jsonc", text: JSON.stringify({ number }) },
        { name: "10-databases.jsonc", text: JSON.stringify({ databases }) },
        { name: "20-users.jsonc", text: `{ "users": { "quickstart": { "password": "trust" } } }` },
    ];
}
