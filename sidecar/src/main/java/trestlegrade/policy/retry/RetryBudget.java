package trestlegrade.policy.retry;

/**
 * Limits the retries that add to the endpoints' work: one for every five arrivals, which is the ratio of the design,
 * and a burst of saved tokens that covers the loss of an endpoint. Retries of attempts that never reached an endpoint
 * are free.
 */
public final class RetryBudget {
    private static final double TOKENS_PER_ARRIVAL = 0.2;
    private static final double MAX_TOKENS = 20;

    private double tokens = MAX_TOKENS;

    /** Called when a transaction has arrived. */
    public void onArrival() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_ARRIVAL);
    }

    /** Called when a retry that adds work is sent. */
    public void onRetrySent() {
        tokens--;
    }

    /** Returns whether there is a token for a retry. */
    public boolean hasToken() {
        return tokens >= 1;
    }
}
