import type { Configuration, RequestClassSettings } from "./configuration.js";

/** How one request is to be treated; times in milliseconds, worth without unit. */
export interface ResolvedClass {
    readonly name: string;
    readonly worth: number;
    readonly ageMs: number | undefined;
    readonly deadlineMs: number;
    readonly repeatable: boolean;
}

/** Class of requests that no other class matches, unless the configuration defines "default" itself. */
export const DEFAULT_CLASS: ResolvedClass = {
    name: "default",
    worth: 1,
    ageMs: undefined,
    deadlineMs: 5_000,
    repeatable: false,
};

type Match = RequestClassSettings["match"];

interface Rule {
    readonly resolved: ResolvedClass;
    readonly match: Match;
    /** Conditions stated; the most specific matching class decides. */
    readonly conditions: number;
}

/** Callers' combinations remembered; beyond it the memory is emptied. */
const MAX_REMEMBERED = 10_000;

/** Chooses the class of a request by database, user, application name and statement comment. */
export class ClassMatcher {
    readonly #rules: readonly Rule[];
    readonly #defaults: ReadonlyMap<string, ResolvedClass>;
    readonly #fallback: ResolvedClass;
    readonly #remembered = new Map<string, readonly Rule[]>();

    constructor(configuration: Configuration) {
        const classes = new Map(
            Object.entries(configuration.classes).map(([name, settings]) => [name, resolve(name, settings)]),
        );
        this.#rules = Object.entries(configuration.classes)
            .map(([name, { match }]) => ({
                resolved: classes.get(name) ?? DEFAULT_CLASS,
                match,
                conditions: count(match),
            }))
            .filter(rule => rule.conditions > 0)
            .sort((left, right) => right.conditions - left.conditions);
        this.#fallback = classes.get("default") ?? DEFAULT_CLASS;
        this.#defaults = new Map(
            Object.entries(configuration.databases).map(([name, database]) => [
                name,
                classes.get(database.defaultClass) ?? this.#fallback,
            ]),
        );
    }

    classFor(
        database: string,
        user: string,
        applicationName: string,
        comment: Readonly<Record<string, string>>,
    ): ResolvedClass {
        const rules = this.#rulesFor(database, user, applicationName);
        const rule = rules.find(({ match }) => matchesComment(match, comment));
        return rule?.resolved ?? this.#defaults.get(database) ?? this.#fallback;
    }

    /** Rules that match all but the comment, which differs from statement to statement. */
    #rulesFor(database: string, user: string, applicationName: string): readonly Rule[] {
        const key = `${database}\n${user}\n${applicationName}`;
        const remembered = this.#remembered.get(key);
        if (remembered !== undefined) {
            return remembered;
        }
        if (this.#remembered.size >= MAX_REMEMBERED) {
            this.#remembered.clear();
        }
        const rules = this.#rules.filter(({ match }) =>
            includes(match.databases, database) && includes(match.users, user)
            && includes(match.applications, applicationName)
        );
        this.#remembered.set(key, rules);
        return rules;
    }
}

function resolve(name: string, settings: RequestClassSettings): ResolvedClass {
    const { worth, ageMs, deadlineMs, repeatable } = settings;
    return { name, worth, ageMs, deadlineMs, repeatable };
}

function count(match: Match): number {
    return [match.databases, match.users, match.applications, match.comment].filter(part => part !== undefined).length;
}

function includes(list: readonly string[] | undefined, value: string): boolean {
    return list?.includes(value) ?? true;
}

function matchesComment(match: Match, comment: Readonly<Record<string, string>>): boolean {
    return Object.entries(match.comment ?? {}).every(([key, value]) => comment[key] === value);
}
