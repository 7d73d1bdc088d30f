package trestlegrade.policy;

import trestlegrade.policy.request.RejectionReason;

/**
 * What the decisions ask of whoever carries them out. Called on the thread that called the {@link LoadBalancer}, from
 * within that call. Transactions and endpoints go by the ids they came with; times are ticks of 0.1 ms.
 */
public interface PolicyActions {
    /**
     * Starts the transaction's next attempt; attempts are numbered from 0 in the order of these calls.
     *
     * @param timeoutTicks how long the attempt may take
     * @param writeBefore the time from which an attempt that still waits for a connection must not be written
     */
    void send(long transactionId, long endpointId, long timeoutTicks, long writeBefore);

    /** Stops waiting for an attempt, whose end is then reported as any other. */
    void cancel(long transactionId, int attempt);

    /**
     * Final answer: the transaction has had no effect and may be tried again.
     *
     * @param retryAfterTicks how long the client is asked to wait before it does, 0 to ask for nothing
     */
    void rollBack(long transactionId, long retryAfterTicks, RejectionReason reason);

    /** Final answer: nothing is promised of the transaction's effect. */
    void abandon(long transactionId, RejectionReason reason);

    /** Asks for one call of {@link LoadBalancer#onTick} after the delay. */
    void scheduleTick(long delayTicks);

    /** Asks to be notified of changes to the endpoint list from now on. */
    void subscribe();
}
