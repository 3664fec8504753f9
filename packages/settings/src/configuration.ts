import { z } from "zod";

const NAME = z.string().regex(/^[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}$/, "must be a name of letters, digits, _ . -");

/** How one kind of request is treated. */
const requestClass = z.strictObject({
    worth: z.number().positive().max(1_000_000).default(1),
    ageMs: z.number().int().min(0).max(86_400_000).optional(),
    deadlineMs: z.number().int().min(10).max(3_600_000).default(5_000),
    repeatable: z.boolean().default(false),
    match: z.strictObject({
        databases: z.array(NAME).optional(),
        users: z.array(z.string().min(1)).optional(),
        applications: z.array(z.string().min(1)).optional(),
        comment: z.record(z.string(), z.string()).optional(),
    }).default({}),
});

const objective = z.strictObject({
    withinDeadline: z.number().min(0).max(0.999_999).default(0.999),
    freshReads: z.number().min(0).max(0.999_999).default(0.999),
    failoverGapMs: z.number().int().positive().default(8_000),
});

const database = z.strictObject({
    acknowledge: z.enum(["primary", "replica"]).default("primary"),
    roaming: z.enum(["strict", "token"]).default("strict"),
    promoteWithout: z.array(NAME).default([]),
    replicaReads: z.boolean().default(true),
    replicaWaitMs: z.number().int().min(0).max(1_000).default(5),
    defaultClass: NAME.default("default"),
    objectives: objective.prefault({}),
});

const user = z.strictObject({
    /** SHA-256 of the password in hexadecimal, or "trust" on a loopback listener. */
    password: z.string().min(1),
    databases: z.array(NAME).optional(),
});

const limits = z.strictObject({
    callersPerHost: z.number().int().min(1).max(100_000).default(4_000),
    queuePerEndpoint: z.number().int().min(0).max(100_000).default(256),
    messageBytes: z.number().int().min(1_024).max(1_073_741_824).default(67_108_864),
    drainMs: z.number().int().min(0).max(3_600_000).default(30_000),
    retryShare: z.number().min(0).max(0.1).default(0.1),
});

/** Schema of the merged configuration folder. Unknown keys are refused. */
export const configurationSchema = z.strictObject({
    number: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
    databases: z.record(NAME, database).default({}),
    classes: z.record(NAME, requestClass).default({}),
    users: z.record(z.string().min(1), user).default({}),
    limits: limits.prefault({}),
});

export type Configuration = z.infer<typeof configurationSchema>;
export type DatabaseSettings = Configuration["databases"][string];
export type RequestClassSettings = Configuration["classes"][string];
export type UserSettings = Configuration["users"][string];
