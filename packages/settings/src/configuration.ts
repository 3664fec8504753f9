import { z } from "zod";

const NAME = z.string().regex(/^[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}$/, "must be a name of letters, digits, _ . -");

/** How one kind of request is treated. */
const requestClass = z.strictObject({
    worth: z.number().positive().max(1_000_000).default(1).describe(
        "Weight of a request of this class in queues and in the service level; a number without unit.",
    ),
    ageMs: z.number().int().min(0).max(86_400_000).optional().describe(
        "Reads may be this old, in ms. Without it they are as fresh as the session needs.",
    ),
    deadlineMs: z.number().int().min(10).max(3_600_000).default(5_000).describe(
        "Time from the arrival of a request to its refusal, in ms.",
    ),
    repeatable: z.boolean().default(false).describe(
        "Statements that may run more than once; they are retried on another endpoint.",
    ),
    match: z.strictObject({
        databases: z.array(NAME).optional().describe("Databases that the class is for."),
        users: z.array(z.string().min(1)).optional().describe("Users that the class is for."),
        applications: z.array(z.string().min(1)).optional().describe("Application names that the class is for."),
        comment: z.record(z.string(), z.string()).optional().describe(
            "Keys and values that a comment of the statement must hold (sqlcommenter form).",
        ),
    }).default({}).describe(
        "Conditions on a request; all that are stated must hold. Without any the class is used only by name.",
    ),
});

const objective = z.strictObject({
    withinDeadline: z.number().min(0).max(0.999_999).default(0.999).describe(
        "Share of the worth to be answered in full within the deadline.",
    ),
    freshReads: z.number().min(0).max(0.999_999).default(0.999).describe(
        "Share of the reads to be answered; a read that cannot be proved fresh is refused.",
    ),
    failoverGapMs: z.number().int().positive().default(8_000).describe(
        "A failover that takes longer counts as slow, in ms.",
    ),
});

const database = z.strictObject({
    acknowledge: z.enum(["primary", "replica"]).default("primary").describe(
        "A write is acknowledged when the primary has it, or when a replica has it too.",
    ),
    roaming: z.enum(["strict", "token"]).default("strict").describe(
        "What a caller without a token reads: at least what the primary had at its arrival, or any state of the database.",
    ),
    promoteWithout: z.array(NAME).default([]).describe(
        "Endpoints whose answer a failover does not wait for; writes that only they hold are lost.",
    ),
    replicaReads: z.boolean().default(true).describe("Whether replicas serve reads."),
    replicaWaitMs: z.number().int().min(0).max(1_000).default(5).describe(
        "How long a read may wait for a replica to catch up, in ms.",
    ),
    defaultClass: NAME.default("default").describe("Class of requests that no class matches."),
    objectives: objective.prefault({}).describe("Service-level objectives of the database, for the burn report."),
});

const user = z.strictObject({
    password: z.string().min(1).describe('SHA-256 of the password in hexadecimal, or "trust" for no password.'),
    databases: z.array(NAME).optional().describe(
        "Databases that the user is for; checked to be declared, not yet asked when a caller connects.",
    ),
});

const limits = z.strictObject({
    callersPerHost: z.number().int().min(1).max(100_000).default(4_000).describe(
        "Callers that one host accepts at a time; read when the process starts.",
    ),
    queuePerEndpoint: z.number().int().min(0).max(100_000).default(256).describe(
        "Requests that may wait for one endpoint at one host; read when a host first uses the endpoint.",
    ),
    messageBytes: z.number().int().min(1_024).max(1_073_741_824).default(67_108_864).describe(
        "Largest message of a caller, in bytes; read when the process starts.",
    ),
    drainMs: z.number().int().min(0).max(3_600_000).default(30_000).describe(
        "Time that a host that stops gives to requests and transactions, in ms.",
    ),
    retryShare: z.number().min(0).max(0.1).default(0.1).describe(
        "Retries as a share of the load, at most; read when a host first uses the database.",
    ),
});

/** Schema of the merged configuration folder. Unknown keys are refused. */
export const configurationSchema = z.strictObject({
    number: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER).describe(
        "Number of the change; raise it with every change.",
    ),
    databases: z.record(NAME, database).default({}).describe("Databases by name."),
    classes: z.record(NAME, requestClass).default({}).describe(
        "Request classes by name; the class with the most matching conditions decides.",
    ),
    users: z.record(z.string().min(1), user).default({}).describe("Users that callers log in as, by name."),
    limits: limits.prefault({}).describe("Limits of every host."),
});

export type Configuration = z.infer<typeof configurationSchema>;
export type DatabaseSettings = Configuration["databases"][string];
export type RequestClassSettings = Configuration["classes"][string];
export type UserSettings = Configuration["users"][string];
