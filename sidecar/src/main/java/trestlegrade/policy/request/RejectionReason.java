package trestlegrade.policy.request;

import trestlegrade.policy.retry.RetryPolicy;

/**
 * Why a transaction is rejected; counted and logged, but not sent to the client. The comment of each constant names the
 * method that decides on it.
 */
public enum RejectionReason {
    /**
     * The lease of the endpoint list has expired, and no endpoint with a lease of its own may take the transaction.
     * Decided by LoadBalancer.waitForEndpoint.
     */
    STALE_LIST,
    /**
     * Load shedding: the expected wait exceeds the fraction of the latency objective that the profile permits (0.2 to
     * 0.4, or 1.5 times the lowest mean latency). Customers over their quota are shed at a higher rate. Decided by
     * LoadShedder.sheds.
     */
    OVERLOAD,
    /**
     * No listed endpoint may take the transaction: none is ready or admitted by slow start; or an attempt was made, and
     * {@link RetryPolicy#maySend} permits no further one (not idempotent, all attempts used, or deduplication window
     * expired). Decided by LoadBalancer.waitForEndpoint.
     */
    NO_ENDPOINT,
    /**
     * The deadline has passed. Decided by DeadlinePolicy.rejectionReason and, periodically, TransactionCloser.onTick.
     */
    DEADLINE,
    /**
     * An attempt failed, and the remaining time is too short for a retry. Decided by DeadlinePolicy.rejectionReason.
     */
    INSUFFICIENT_TIME,
    /** An attempt failed, and the retry budget is exhausted. Decided by DeadlinePolicy.rejectionReason. */
    RETRY_BUDGET
}
