package trestlegrade.policy.request;

/** Why a transaction is given up: told with its final answer, counted and logged. */
public enum RejectionReason {
    /** The list of servers has not been confirmed for too long: any of them may drain. */
    STALE_LIST,
    /** Early rollback: the expected wait spoils the service goal, or the customer is over its share. */
    OVERLOAD,
    /** No listed server may take it. */
    NO_SERVER,
    /** Its deadline has come. */
    DEADLINE,
    /** An attempt failed, and there is too little time for another. */
    LITTLE_TIME,
    /** An attempt failed, and the budget for further attempts is used up. */
    RETRY_BUDGET
}
