package trestlegrade.policy.request;

import trestlegrade.policy.retry.RetryPolicy;

/** Why a transaction is rejected: counted and logged, not sent to the client. Each names who decides it. */
public enum RejectionReason {
    /**
     * The lease of the endpoint list has expired, and no endpoint with a lease of its own may take it. Decided by
     * LoadBalancer.waitForEndpoint.
     */
    STALE_LIST,
    /**
     * Shed: the expected wait exceeds the part of the latency objective that the profile permits (0.2 to 0.4, or 1.5
     * times the lowest mean latency); customers over their quota are shed more. Decided by LoadShedder.sheds.
     */
    OVERLOAD,
    /**
     * No listed endpoint may take it: none is ready or admitted by slow start; or an attempt was made, and
     * {@link RetryPolicy#maySend} allows no further one (not idempotent, all attempts used, deduplication window over).
     * Decided by LoadBalancer.waitForEndpoint.
     */
    NO_ENDPOINT,
    /**
     * Its deadline has passed. Decided by DeadlinePolicy.rejectionReason and, periodically, TransactionCloser.onTick.
     */
    DEADLINE,
    /** An attempt failed, and the time left is too short for a retry. Decided by DeadlinePolicy.rejectionReason. */
    INSUFFICIENT_TIME,
    /** An attempt failed, and the retry budget is used up. Decided by DeadlinePolicy.rejectionReason. */
    RETRY_BUDGET
}
