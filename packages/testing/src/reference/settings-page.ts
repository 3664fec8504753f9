import { configurationSchema, hostSettingsSchema } from "@medlarledge/settings";
import { z } from "zod";
import { code, markdownTable } from "./markdown.js";

/** The parts of a JSON schema that the settings use. */
interface JsonSchema {
    readonly type?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly enum?: readonly string[];
    readonly pattern?: string;
    readonly minimum?: number;
    readonly exclusiveMinimum?: number;
    readonly maximum?: number;
    readonly minLength?: number;
    readonly minItems?: number;
    readonly maxItems?: number;
    readonly items?: JsonSchema;
    readonly properties?: Readonly<Record<string, JsonSchema>>;
    readonly required?: readonly string[];
    readonly additionalProperties?: JsonSchema | boolean;
}

const HEADING = ["name", "type", "default", "limits", "meaning"];

/** Settings of the configuration folder. */
export function folderSettings(): string {
    return settingsTable(configurationSchema);
}

/** Settings of one host. */
export function hostSettings(): string {
    return settingsTable(hostSettingsSchema);
}

function settingsTable(schema: z.ZodType): string {
    const root = z.toJSONSchema(schema, { io: "input" }) as JsonSchema;
    return markdownTable(HEADING, rowsOf(root, ""));
}

function rowsOf(object: JsonSchema, prefix: string): readonly (readonly string[])[] {
    return Object.entries(object.properties ?? {}).flatMap(([name, schema]) => {
        const path = prefix === "" ? name : `${prefix}.${name}`;
        const required = object.required?.includes(name) === true;
        return [row(path, schema, required), ...nestedRows(schema, path)];
    });
}

function nestedRows(schema: JsonSchema, path: string): readonly (readonly string[])[] {
    const values = schema.additionalProperties;
    if (typeof values === "object" && values.properties !== undefined) {
        return rowsOf(values, `${path}.NAME`);
    }
    return schema.items?.properties === undefined ? rowsOf(schema, path) : rowsOf(schema.items, `${path}[]`);
}

function row(path: string, schema: JsonSchema, required: boolean): readonly string[] {
    if (schema.description === undefined) {
        throw new Error(`the setting ${path} has no description`);
    }
    const preset = required
        ? "required"
        : schema.default === undefined
        ? "none"
        : code(JSON.stringify(schema.default));
    return [code(path), typeOf(schema), preset, limitsOf(schema), schema.description];
}

function typeOf(schema: JsonSchema): string {
    if (schema.enum !== undefined) {
        return schema.enum.map(value => code(JSON.stringify(value))).join(" or ");
    }
    if (schema.type === "array") {
        return `array of ${schema.items === undefined ? "values" : typeOf(schema.items)}`;
    }
    return schema.type ?? "value";
}

function limitsOf(schema: JsonSchema): string {
    const { minimum, exclusiveMinimum, maximum, pattern, minLength, minItems, maxItems } = schema;
    const limits = [
        minimum === undefined ? "" : `at least ${minimum}`,
        exclusiveMinimum === undefined ? "" : `above ${exclusiveMinimum}`,
        maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? "" : `at most ${maximum}`,
        minLength === undefined ? "" : `at least ${minLength} characters`,
        minItems === undefined ? "" : `at least ${minItems} entries`,
        maxItems === undefined ? "" : `at most ${maxItems} entries`,
        pattern === undefined ? "" : code(pattern),
        schema.items === undefined || schema.items.properties !== undefined ? "" : limitsOf(schema.items),
    ];
    return limits.filter(text => text !== "").join(", ");
}
