package trestlegrade.policy;

import trestlegrade.policy.request.RejectionReason;

/** What the decisions ask of whoever carries them out. Transactions and endpoints go by the ids they came with. */
public interface PolicyActions {
    /**
     * Starts the transaction's next attempt; attempts are numbered from 0 in the order of these calls. One that has to
     * wait for a connection must not be written once {@code writtenBefore} has come.
     */
    void send(long tx, long endpoint, long timeout, long writtenBefore);

    /** Stops waiting for an attempt. */
    void callOff(long tx, int attempt);

    /** Final answer: it has had no effect and may be tried again, after the pause if that is not 0. */
    void rollBack(long tx, long pause, RejectionReason why);

    /** Final answer: nothing is promised of its effect. */
    void abandon(long tx, RejectionReason why);

    /** Asks for one call of {@link LoadBalancer#woken} after the span. */
    void wake(long span);

    /** Asks to be told of changes to the list of endpoints from now on. */
    void subscribe();
}
