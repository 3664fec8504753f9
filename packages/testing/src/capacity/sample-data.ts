import type { ControlCommand } from "@medlarledge/control";
import type { ConfigurationFile, Endpoint, Host } from "@medlarledge/protocol";

export const DATA_CENTRES = ["mechelen", "antwerp", "leuven", "ghent"] as const;
export const ENDPOINTS_PER_DATABASE = 3;
export const HOST_COUNTS = [7, 50, 150, 300, 550] as const;
export const DATABASE_COUNTS = [3, 64, 320, 640] as const;
export const TARGET_HOSTS = 550;
export const TARGET_DATABASES = 640;

const FIRST_PORT = 20_000;

export function sampleHost(index: number, incarnation = 0): Host {
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? "";
    return {
        id: `${dataCentre}-${index}`,
        incarnation: `${index}-${incarnation}`.padStart(16, "0"),
        dataCentre,
        peerAddress: `10.0.${index % 256}.${Math.floor(index / 256)}:7402`,
        httpAddress: `10.0.${index % 256}.${Math.floor(index / 256)}:7403`,
        callerAddress: `10.0.${index % 256}.${Math.floor(index / 256)}:5432`,
        control: index < 5,
    };
}

export function databaseName(index: number): string {
    return `database-${String(index).padStart(3, "0")}`;
}

/** `unreachable` puts the endpoint on a loopback port where nobody listens. */
export function sampleEndpoint(database: number, index: number, unreachable = false): Endpoint {
    return {
        id: `${databaseName(database)}-${index + 1}`,
        database: databaseName(database),
        dataCentre: DATA_CENTRES[(database + index) % DATA_CENTRES.length] ?? "",
        host: unreachable ? "127.0.0.1" : `10.1.${database % 256}.${Math.floor(database / 256) * 4 + index}`,
        port: unreachable ? 1 : 5432 + (database * ENDPOINTS_PER_DATABASE + index) % FIRST_PORT,
        systemIdentifier: String(7_300_000_000_000_000_000n + BigInt(database * ENDPOINTS_PER_DATABASE + index)),
        sequence: 1,
        slots: 2,
        connections: 16,
    };
}

/** Commands that lead to `hosts` registered hosts and `databases` with three endpoints and one started term each. */
export function* sampleCommands(hosts: number, databases: number): Generator<ControlCommand> {
    for (let index = 0; index < hosts; index++) {
        yield { kind: "registerHost", host: sampleHost(index) };
    }
    for (let database = 0; database < databases; database++) {
        for (let index = 0; index < ENDPOINTS_PER_DATABASE; index++) {
            yield { kind: "announceEndpoint", endpoint: sampleEndpoint(database, index) };
        }
        const name = databaseName(database);
        const primary = sampleEndpoint(database, 0).id;
        yield { kind: "beginTerm", database: name, term: 1, primary, reason: "first", at: 1_780_000_000_000 };
        yield { kind: "startTerm", database: name, term: 1, timeline: 1, start: 16_777_216 };
    }
}

/** A folder with one file for each database, in which every setting is written out. */
export function sampleFolder(databases: number): readonly ConfigurationFile[] {
    const files = Array.from({ length: databases }, (_, index) => {
        const name = databaseName(index);
        const database = {
            acknowledge: index % 2 === 0 ? "replica" : "primary",
            replicaReads: true,
            replicaWaitMs: 5,
            objectives: { withinDeadline: 0.999, freshReads: 0.999, failoverGapMs: 8_000 },
        };
        const classes = { [`${name}-list`]: { worth: 1, ageMs: 2_000, match: { databases: [name] } } };
        return { name: `10-${name}.jsonc`, text: JSON.stringify({ databases: { [name]: database }, classes }) };
    });
    return [
        { name: "00-number.jsonc", text: `{ "number": 1 }` },
        ...files,
        { name: "20-users.jsonc", text: `{ "users": { "caller": { "password": "trust" } } }` },
    ];
}
