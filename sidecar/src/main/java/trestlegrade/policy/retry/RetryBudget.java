package trestlegrade.policy.retry;

/**
 * Bounds the retries that add to the endpoints' work: one for every five arrivals, as in the design's step, and a saved
 * burst that bridges the loss of an endpoint. Retries of attempts that never reached an endpoint are free.
 */
public final class RetryBudget {
    private static final double TOKENS_PER_ARRIVAL = 0.2;
    private static final double MOST_TOKENS = 20;

    private double tokens = MOST_TOKENS;

    /** A transaction has arrived. */
    public void onArrival() {
        tokens = Math.min(MOST_TOKENS, tokens + TOKENS_PER_ARRIVAL);
    }

    /** A retry that adds work is sent. */
    public void onRetrySent() {
        tokens--;
    }

    /** Whether there is a token for a retry. */
    public boolean hasToken() {
        return tokens >= 1;
    }
}
