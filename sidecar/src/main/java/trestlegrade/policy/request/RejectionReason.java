package trestlegrade.policy.request;

/** Why a transaction is rejected: given with its final answer, counted and logged. */
public enum RejectionReason {
    /** The endpoint list has not been confirmed for too long: any endpoint may be draining. */
    STALE_LIST,
    /** Shed: the expected wait misses the latency objective, or the customer is over its quota. */
    OVERLOAD,
    /** No listed endpoint may take it. */
    NO_ENDPOINT,
    /** Its deadline has passed. */
    DEADLINE,
    /** An attempt failed, and the time left is too short for a retry. */
    INSUFFICIENT_TIME,
    /** An attempt failed, and the retry budget is used up. */
    RETRY_BUDGET
}
