package trestlegrade.policy.endpoint;

import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * Tracks whether one endpoint is known to accept new requests (rule 3). A draining endpoint rejects new requests, so an
 * endpoint that served a request was not draining when that request was sent.
 */
public final class ServingState {
    private long servedAt = EndpointListLease.NEVER;
    private long rejectedAt = EndpointListLease.NEVER;

    void onRestart() {
        servedAt = EndpointListLease.NEVER;
    }

    /** Updates the state with the outcome of an attempt that was sent at the given time. */
    public void onAttemptEnded(long now, long sentAt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.NO_CONNECTION) {
            servedAt = EndpointListLease.NEVER;
            rejectedAt = now;
        } else if (outcome == AttemptOutcome.COMMITTED && sentAt > rejectedAt) {
            servedAt = Math.max(servedAt, sentAt);
        }
    }

    /**
     * Returns when the latest request that the endpoint served was sent, or {@link EndpointListLease#NEVER} if it has
     * served none since it last rejected one.
     */
    public long servedAt() {
        return servedAt;
    }
}
