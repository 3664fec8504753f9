import type { ArgsDef, CommandDef } from "citty";
import { ExitCode } from "./exit-code.js";
import { explainFromLogs } from "./explain-command.js";
import type { HostAccess } from "./host-client.js";
import { makeKeys } from "./keys-command.js";
import type { Output } from "./output.js";
import { serve } from "./serve.js";
import { applyFolder, checkSettings, showSettings } from "./settings-commands.js";
import { VERSION } from "./version.js";
import { showBurn, showHistory, showStatus } from "./watch-commands.js";

/** Name of a positional argument that may be given more than once. */
export const REPEATED_ARGUMENT = "words";

const DEFAULT_ADDRESS = "127.0.0.1:6434";
const KEY_DAYS = "365";

const ACCESS_ARGS = {
    host: {
        type: "string",
        description: "HTTP address of any host, IP:PORT (or MEDLARLEDGE_HOST)",
        default: process.env["MEDLARLEDGE_HOST"] ?? DEFAULT_ADDRESS,
    },
    token: { type: "string", description: "operator token (or MEDLARLEDGE_TOKEN)" },
} as const satisfies ArgsDef;

const FOLDER_ARG = { folder: { type: "positional", description: "configuration folder", required: true } } as const;
const JSON_ARG = { json: { type: "boolean", description: "print JSON", default: false } } as const;

/** Defines the commands. `exit` is told the exit code of the command that ran. */
export function buildCommands(output: Output, exit: (code: ExitCode) => void): CommandDef {
    return {
        meta: {
            name: "medlarledge",
            version: VERSION,
            description: "Database proxy with session consistency for PostgreSQL",
        },
        subCommands: {
            serve: serveCommand(output, exit),
            settings: {
                meta: { name: "settings", description: "Check or show a configuration folder" },
                subCommands: {
                    check: folderCommand("check", "Check a folder without applying it", checkSettings, output, exit),
                    show: folderCommand("show", "Print the merged values and their files", showSettings, output, exit),
                },
            },
            apply: applyCommand(output, exit),
            status: statusCommand(output, exit),
            history: historyCommand(output, exit),
            report: {
                meta: { name: "report", description: "Reports on the service" },
                subCommands: { burn: burnCommand(output, exit) },
            },
            keys: keysCommand(output, exit),
            explain: explainCommand(output, exit),
        },
    };
}

function serveCommand(output: Output, exit: (code: ExitCode) => void): CommandDef {
    return command({
        name: "serve",
        description: "Run one host until it is asked to stop",
        args: { file: { type: "positional", description: "settings file of the host", required: true } },
        run: async args => exit(await serve(text(args, "file"), output)),
    });
}

function folderCommand(
    name: string,
    description: string,
    action: (folder: string, output: Output) => Promise<ExitCode>,
    output: Output,
    exit: (code: ExitCode) => void,
): CommandDef {
    return command({
        name,
        description,
        args: FOLDER_ARG,
        run: async args => exit(await action(text(args, "folder"), output)),
    });
}

function applyCommand(output: Output, exit: (code: ExitCode) => void): CommandDef {
    const operator = process.env["USER"] ?? "operator";
    return command({
        name: "apply",
        description: "Propose a configuration folder to the system",
        args: {
            ...FOLDER_ARG,
            ...ACCESS_ARGS,
            operator: { type: "string", description: "name kept in the history", default: operator },
        },
        run: async args =>
            exit(await applyFolder(text(args, "folder"), text(args, "operator"), accessOf(args), output)),
    });
}

function statusCommand(output: Output, exit: (code: ExitCode) => void): CommandDef {
    return command({
        name: "status",
        description: "Show databases, hosts, what is wrong and what is being done about it",
        args: {
            ...ACCESS_ARGS,
            ...JSON_ARG,
            watch: { type: "boolean", description: "repeat every second", default: false },
        },
        run: async args => {
            const options = { json: args["json"] === true, watch: args["watch"] === true };
            exit(await showStatus(accessOf(args), options, output));
        },
    });
}

function historyCommand(output: Output, exit: (code: ExitCode) => void): CommandDef {
    return command({
        name: "history",
        description: "Show who changed what and when, and why primaries changed",
        args: { ...ACCESS_ARGS, ...JSON_ARG },
        run: async args => exit(await showHistory(accessOf(args), args["json"] === true, output)),
    });
}

function burnCommand(output: Output, exit: (code: ExitCode) => void): CommandDef {
    return command({
        name: "burn",
        description: "Show the service-level burn by database",
        args: {
            ...ACCESS_ARGS,
            format: { type: "string", description: "text, json or html", default: "text" },
        },
        run: async args => exit(await showBurn(accessOf(args), text(args, "format"), output)),
    });
}

function keysCommand(output: Output, exit: (code: ExitCode) => void): CommandDef {
    return command({
        name: "keys",
        description: "Make a private authority and key pairs of hosts for a trial",
        args: {
            folder: { type: "positional", description: "folder to write to", required: true },
            hosts: { type: "string", description: "host ids separated by commas", required: true },
            days: { type: "string", description: "validity in days", default: KEY_DAYS },
        },
        run: async args => {
            const days = Number(text(args, "days"));
            if (!Number.isInteger(days) || days < 1) {
                output.error("medlarledge: --days must be a whole number above 0");
                exit(ExitCode.Usage);
                return;
            }
            exit(await makeKeys(text(args, "folder"), text(args, "hosts").split(","), days, output));
        },
    });
}

function explainCommand(output: Output, exit: (code: ExitCode) => void): CommandDef {
    return command({
        name: "explain",
        description: "Explain a request by its id from log files: explain ID FILE...",
        args: {
            [REPEATED_ARGUMENT]: {
                type: "positional",
                description: "id of a request, unless an option selects something else, and log files",
                required: true,
            },
            endpoint: { type: "string", description: "explain what happened to an endpoint instead" },
            configuration: { type: "string", description: "explain a configuration by its number instead" },
            ...JSON_ARG,
        },
        run: async args => {
            const words = Array.isArray(args["_"]) ? args["_"].map(String) : [];
            const options = { words, endpoint: optional(args, "endpoint"), json: args["json"] === true };
            exit(await explainFromLogs({ ...options, configuration: optional(args, "configuration") }, output));
        },
    });
}

type Values = Readonly<Record<string, unknown>>;

function command(definition: {
    readonly name: string;
    readonly description: string;
    readonly args: ArgsDef;
    readonly run: (args: Values) => Promise<void>;
}): CommandDef {
    const { name, description, args, run } = definition;
    return { meta: { name, description }, args, run: context => run(context.args) };
}

function accessOf(args: Values): HostAccess {
    const token = args["token"] ?? process.env["MEDLARLEDGE_TOKEN"];
    return { address: text(args, "host"), token: typeof token === "string" ? token : undefined };
}

function optional(args: Values, name: string): string | undefined {
    const value = args[name];
    return typeof value === "string" ? value : undefined;
}

function text(args: Values, name: string): string {
    const value = args[name];
    return typeof value === "string" ? value : "";
}
