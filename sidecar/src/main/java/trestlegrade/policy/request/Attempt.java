package trestlegrade.policy.request;

import trestlegrade.policy.endpoint.Endpoint;

/** One attempt of a transaction at one endpoint. Times are ticks of 0.1 ms. */
public final class Attempt {
    /**
     * Limits the effect of a single attempt on a mean. With heavy-tailed latencies one attempt in a hundred takes ten
     * times as long as the others and would dominate the mean over one second.
     */
    private static final double MAX_EXPECTED_MULTIPLE = 3;

    private final Endpoint endpoint;
    private final long sentAt;
    private final double expectedTicks;
    private final boolean probe;
    private AttemptOutcome outcome;

    /**
     * Creates an attempt that is in flight.
     *
     * @param expectedTicks expected duration at the time of sending
     * @param probe whether it is a half-open probe of an ejected endpoint
     */
    public Attempt(Endpoint endpoint, long sentAt, double expectedTicks, boolean probe) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.expectedTicks = expectedTicks;
        this.probe = probe;
    }

    /** Returns the endpoint that the attempt was sent to. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the send time. */
    public long sentAt() {
        return sentAt;
    }

    /** Returns the expected duration at the time of sending. */
    public double expectedTicks() {
        return expectedTicks;
    }

    /** Returns the given age or duration for use in a mean, capped at three times the expected duration. */
    public double cappedTicks(long ticks) {
        return Math.min((double) ticks, MAX_EXPECTED_MULTIPLE * expectedTicks);
    }

    /** Returns whether this is a half-open probe of an ejected endpoint. */
    public boolean isProbe() {
        return probe;
    }

    /** Returns how the attempt ended, or null while it is in flight. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    /** Returns whether the attempt has not ended yet. */
    public boolean inFlight() {
        return outcome == null;
    }

    void end(AttemptOutcome finalOutcome) {
        outcome = finalOutcome;
    }
}
