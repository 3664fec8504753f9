import type { Admission, Customer } from "@medlarledge/customers";
import { type Answer, errorAnswer, ErrorCode, TransactionStates } from "@medlarledge/statements";
import type { Identification } from "./caller-identity.js";

/** Admits operations within the limits of customers. An operation is a single statement or a transaction. */
export interface OperationLimits {
    /** Settles whether an operation of the customer may run; to be called once for each, before it is ordered. */
    admit(customer: Customer): Promise<Admission>;
    /** Takes back the admission of an operation that was refused without having been ordered. */
    giveBack(customer: Customer): void;
}

/** Admits an operation of the identified caller. Returns the refusal, or undefined. */
export async function refusedByLimit(
    limits: OperationLimits | undefined,
    identification: Identification,
): Promise<Answer | undefined> {
    const customer = limitedCustomer(identification);
    if (limits === undefined || customer === undefined) {
        return undefined;
    }
    const admission = await limits.admit(customer);
    return admission.kind === "admitted" ? undefined : errorAnswer(
        ErrorCode.Busy,
        `not run (limit); retry in ${admission.retryAfterMs} ms`,
        TransactionStates.Idle,
    );
}

/** Gives back the admission of an operation of the identified caller that was not ordered. */
export function giveBackAdmission(limits: OperationLimits | undefined, identification: Identification): void {
    const customer = limitedCustomer(identification);
    if (customer !== undefined) {
        limits?.giveBack(customer);
    }
}

function limitedCustomer(identification: Identification): Customer | undefined {
    return identification.kind === "customer" && identification.customer.limit !== undefined
        ? identification.customer
        : undefined;
}
