package trestlegrade.policy.endpoint;

import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * What attempts prove of whether one endpoint takes new requests (rule 3). A draining endpoint rejects what is new, so
 * one that served a request was not draining when that was sent.
 */
public final class ServingState {
    private long servedAt = EndpointListLease.NEVER;
    private long rejectedAt = EndpointListLease.NEVER;

    void onRestart() {
        servedAt = EndpointListLease.NEVER;
    }

    /** Takes the outcome of an attempt that was sent at the time given. */
    public void onAttemptEnded(long now, long sentAt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.NO_CONNECTION) {
            servedAt = EndpointListLease.NEVER;
            rejectedAt = now;
        } else if (outcome == AttemptOutcome.COMMITTED && sentAt > rejectedAt) {
            servedAt = Math.max(servedAt, sentAt);
        }
    }

    /**
     * When the latest request was sent that the endpoint served, since it last rejected one; else
     * {@link EndpointListLease#NEVER}.
     */
    public long servedAt() {
        return servedAt;
    }
}
