import { type ArgsDef, type CommandDef, renderUsage, runCommand } from "citty";
import { buildCommands, REPEATED_ARGUMENT } from "./commands.js";
import { ExitCode } from "./exit-code.js";
import type { Output } from "./output.js";
import { VERSION } from "./version.js";

interface Selected {
    readonly command: CommandDef;
    readonly parent: CommandDef | undefined;
    readonly words: readonly string[];
}

/** Runs the program with its arguments and returns the exit code. */
export async function runProgram(args: readonly string[], output: Output): Promise<ExitCode> {
    let code: ExitCode = ExitCode.Done;
    const commands = buildCommands(output, ended => (code = ended));
    if (args[0] === "--version" || args[0] === "-v") {
        output.out(VERSION);
        return ExitCode.Done;
    }
    const selected = select(commands, args);
    if (args.includes("--help") || args.includes("-h")) {
        output.out(await renderUsage(selected.command, selected.parent));
        return ExitCode.Done;
    }
    const problem = findUsageProblem(selected);
    if (problem !== undefined) {
        output.error(`medlarledge: ${problem}; see medlarledge --help`);
        return ExitCode.Usage;
    }
    await runCommand(selected.command, { rawArgs: [...selected.words] });
    return code;
}

/** Follows the leading words to the command that they name. */
function select(root: CommandDef, args: readonly string[]): Selected {
    let selected: Selected = { command: root, parent: undefined, words: args };
    for (;;) {
        const subCommands = selected.command.subCommands as Record<string, CommandDef> | undefined;
        const [first, ...rest] = selected.words;
        const next = first === undefined || subCommands === undefined || !Object.hasOwn(subCommands, first)
            ? undefined
            : subCommands[first];
        if (next === undefined) {
            return selected;
        }
        selected = { command: next, parent: selected.command, words: rest };
    }
}

/** The library ignores unknown flags and extra words, which would hide a typing error. */
function findUsageProblem({ command, words }: Selected): string | undefined {
    if (command.subCommands !== undefined) {
        return words[0] === undefined ? "a command is missing" : `there is no command "${words[0]}"`;
    }
    const definitions = (command.args ?? {}) as ArgsDef;
    const expected = Object.values(definitions).filter(definition => definition.type === "positional").length;
    let positionals = 0;
    for (let index = 0; index < words.length; index++) {
        const word = words[index] ?? "";
        if (!word.startsWith("-")) {
            positionals += 1;
            continue;
        }
        const [flag = "", value] = word.replace(/^--?/, "").split("=", 2);
        const definition = Object.hasOwn(definitions, flag) ? definitions[flag] : undefined;
        if (definition === undefined || definition.type === "positional") {
            return `there is no flag "${word}"`;
        }
        if (definition.type === "string" && value === undefined) {
            index += 1;
            if (words[index] === undefined) {
                return `flag "${word}" needs a value`;
            }
        }
    }
    if (positionals > expected && !Object.hasOwn(definitions, REPEATED_ARGUMENT)) {
        return "too many arguments";
    }
    return positionals < expected ? "an argument is missing" : findMissingFlag(definitions, words);
}

function findMissingFlag(definitions: ArgsDef, words: readonly string[]): string | undefined {
    const missing = Object.entries(definitions).find(([name, definition]) =>
        definition.type === "string" && definition.required === true
        && !words.some(word => word === `--${name}` || word.startsWith(`--${name}=`))
    );
    return missing === undefined ? undefined : `flag "--${missing[0]}" is missing`;
}
