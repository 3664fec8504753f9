import type { Admission, AdmissionCause, Customer } from "@medlarledge/customers";
import { type Answer, errorAnswer, ErrorCode, TransactionStates } from "@medlarledge/statements";

/** Admits operations within the limits of customers. An operation is a single statement or a transaction. */
export interface OperationLimits {
    /** Settles whether an operation of the customer may run; to be called once for each, before it is ordered. */
    admit(customer: Customer): Promise<Admission>;
    /** Takes back the admission of an operation that was refused without having been ordered. */
    giveBack(customer: Customer): void;
}

/** The refusal of an operation by its customer's limit. */
export interface LimitRefusal {
    readonly answer: Answer;
    readonly cause: AdmissionCause;
}

/** Admits an operation of a customer; an anonymous caller has no limit. Returns the refusal, or undefined. */
export async function refusedByLimit(
    limits: OperationLimits | undefined,
    customer: Customer | undefined,
): Promise<LimitRefusal | undefined> {
    if (limits === undefined || customer?.limit === undefined) {
        return undefined;
    }
    const admission = await limits.admit(customer);
    if (admission.kind === "admitted") {
        return undefined;
    }
    const { cause, retryAfterMs } = admission;
    const text = `not run (${cause}); retry in ${retryAfterMs} ms`;
    return { answer: errorAnswer(ErrorCode.Busy, text, TransactionStates.Idle), cause };
}

/** Gives back the admission of a customer's operation that was not ordered. */
export function giveBackAdmission(limits: OperationLimits | undefined, customer: Customer | undefined): void {
    if (customer?.limit !== undefined) {
        limits?.giveBack(customer);
    }
}
