package trestlegrade.policy.request;

import trestlegrade.policy.endpoint.Endpoint;

/** One attempt of a transaction at one endpoint. Times are ticks of 0.1 ms. */
public final class Attempt {
    /** With heavy tails one attempt in a hundred takes ten times as long, and a second's mean would go by it. */
    private static final double LONGEST_COUNTED = 3;

    private final Endpoint endpoint;
    private final long sentAt;
    private final double expectedTicks;
    private final boolean probe;
    private AttemptOutcome outcome;

    /**
     * Begins an attempt.
     *
     * @param expectedTicks how long it was expected to take when it was sent
     * @param probe whether it is a half-open probe of an ejected endpoint
     */
    public Attempt(Endpoint endpoint, long sentAt, double expectedTicks, boolean probe) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.expectedTicks = expectedTicks;
        this.probe = probe;
    }

    /** The endpoint that it was sent to. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** When it was sent. */
    public long sentAt() {
        return sentAt;
    }

    /** How long it was expected to take when it was sent. */
    public double expectedTicks() {
        return expectedTicks;
    }

    /** For how long an attempt of this age or latency counts in a mean: three times the expected at the most. */
    public double cappedTicks(long ticks) {
        return Math.min((double) ticks, LONGEST_COUNTED * expectedTicks);
    }

    /** Whether it is a half-open probe of an ejected endpoint. */
    public boolean isProbe() {
        return probe;
    }

    /** How it ended, or null while it is in flight. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    /** Whether it has not ended yet. */
    public boolean inFlight() {
        return outcome == null;
    }

    void end(AttemptOutcome with) {
        outcome = with;
    }
}
