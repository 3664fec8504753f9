import type { Configuration } from "./configuration.js";
import type { ValuePath } from "./document.js";
import type { Finding } from "./finding.js";

/** Turns a path and a text into a finding with its place. */
export type Locate = (path: ValuePath, text: string) => Finding;

/** Checks that names used in one part of the configuration are declared in another. */
export function checkReferences(configuration: Configuration, locate: Locate): readonly Finding[] {
    return [
        ...checkDefaultClasses(configuration, locate),
        ...checkClassDatabases(configuration, locate),
        ...checkUserDatabases(configuration, locate),
    ];
}

function checkDefaultClasses(configuration: Configuration, locate: Locate): readonly Finding[] {
    const findings: Finding[] = [];
    for (const [name, database] of Object.entries(configuration.databases)) {
        const declared = database.defaultClass === "default" || database.defaultClass in configuration.classes;
        if (!declared) {
            findings.push(
                locate(["databases", name, "defaultClass"], `there is no class "${database.defaultClass}"`),
            );
        }
    }
    return findings;
}

function checkClassDatabases(configuration: Configuration, locate: Locate): readonly Finding[] {
    return Object.entries(configuration.classes).flatMap(([name, requestClass]) =>
        undeclared(
            requestClass.match.databases,
            ["classes", name, "match", "databases"],
            configuration,
            locate,
        )
    );
}

function checkUserDatabases(configuration: Configuration, locate: Locate): readonly Finding[] {
    return Object.entries(configuration.users).flatMap(([name, user]) =>
        undeclared(user.databases, ["users", name, "databases"], configuration, locate)
    );
}

function undeclared(
    names: readonly string[] | undefined,
    path: ValuePath,
    configuration: Configuration,
    locate: Locate,
): readonly Finding[] {
    return (names ?? []).flatMap((name, index) =>
        name in configuration.databases ? [] : [locate([...path, index], `there is no database "${name}"`)]
    );
}
