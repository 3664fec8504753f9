import { ChangeOutcome, type ChangeResult, type ConfigurationChange, MAX_LOG_ENTRY_BYTES } from "@medlarledge/protocol";

/** Maximum number of accepted changes stored, so that a repeated request gets the same reply after later changes. */
export const MAX_ACCEPTED_CHANGES = 1_000;

/** Finding on a configuration that no message could carry to the other hosts. */
export const CONFIGURATION_TOO_LARGE =
    `the configuration takes more than ${MAX_LOG_ENTRY_BYTES} bytes in a message between hosts`;

export interface AcceptedChange {
    readonly number: number;
    readonly digest: string;
    readonly operator: string;
    /** Wall-clock time of the proposal, in ms. */
    readonly at: number;
}

export interface ConfigurationData {
    readonly change: ConfigurationChange | undefined;
    readonly accepted: readonly AcceptedChange[];
}

/** The configuration in force and the numbers that were accepted before. */
export class ConfigurationState {
    #change: ConfigurationChange | undefined;
    readonly #accepted: AcceptedChange[];

    constructor(data: ConfigurationData) {
        this.#change = data.change;
        this.#accepted = [...data.accepted];
    }

    data(): ConfigurationData {
        return { change: this.#change, accepted: this.#accepted };
    }

    change(): ConfigurationChange | undefined {
        return this.#change;
    }

    /** Wall-clock time at which the change in force was proposed, in ms. */
    acceptedAt(): number | undefined {
        return this.#accepted.at(-1)?.at;
    }

    apply(change: ConfigurationChange, at: number): ChangeResult {
        const outcome = this.evaluate(change);
        if (outcome === ChangeOutcome.Accepted) {
            this.#change = change;
            this.#accepted.push({ number: change.number, digest: change.digest, operator: change.operator, at });
            this.#accepted.splice(0, Math.max(0, this.#accepted.length - MAX_ACCEPTED_CHANGES));
        }
        return this.result(outcome, []);
    }

    /** Returns the outcome of applying this change, without applying it. */
    evaluate(change: ConfigurationChange): ChangeOutcome {
        if (!Number.isSafeInteger(change.number) || change.number < 1) {
            return ChangeOutcome.Invalid;
        }
        const holder = this.#accepted.find((accepted) => accepted.number === change.number);
        if (holder?.digest === change.digest) {
            return ChangeOutcome.AlreadyAccepted;
        }
        const current = this.#change?.number ?? 0;
        if (change.number > current) {
            return ChangeOutcome.Accepted;
        }
        return change.number === current ? ChangeOutcome.NumberTaken : ChangeOutcome.NumberTooLow;
    }

    /** Builds the reply for an outcome, with the number, digest and operator of the configuration in force. */
    result(outcome: ChangeOutcome, findings: readonly string[]): ChangeResult {
        return {
            outcome,
            number: this.#change?.number ?? 0,
            digest: this.#change?.digest ?? "",
            operator: this.#change?.operator ?? "",
            findings,
        };
    }
}
