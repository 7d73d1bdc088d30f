package trestlegrade.policy;

import trestlegrade.policy.request.RejectionReason;

/**
 * Actions that the {@link LoadBalancer} requests from its environment. Called on the thread that called the load
 * balancer, from within that call. Transactions and endpoints are identified by the ids that the caller assigned; times
 * are ticks of 0.1 ms.
 */
public interface PolicyActions {
    /**
     * Sends the transaction's next attempt; attempts are numbered from 0 in the order of these calls.
     *
     * @param timeoutTicks time until the transaction's deadline, at which the attempt times out
     * @param writeBefore the time before which the attempt must be written; it is not sent if it still waits for a
     *     connection then
     */
    void send(long transactionId, long endpointId, long timeoutTicks, long writeBefore);

    /** Cancels an attempt; its end is reported like that of any other attempt. */
    void cancel(long transactionId, int attempt);

    /**
     * Sends the final response that the transaction has had no effect and may be retried.
     *
     * @param retryAfterTicks how long the client is asked to wait before it retries, or 0 to send no Retry-After
     */
    void rollBack(long transactionId, long retryAfterTicks, RejectionReason reason);

    /** Sends the final response that the transaction may or may not have had an effect. */
    void abandon(long transactionId, RejectionReason reason);

    /** Schedules one call of {@link LoadBalancer#onTick} after the delay. */
    void scheduleTick(long delayTicks);

    /** Starts a watch of the endpoint list. */
    void subscribe();
}
