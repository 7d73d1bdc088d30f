package trestlegrade.policy.retry;

import trestlegrade.policy.estimate.LatencyEstimator;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Enforces rule 1: each transaction has exactly one final response by its deadline. Decides whether another attempt is
 * worthwhile, how long a transaction waits for an endpoint, and which attempts in flight are cancelled for a retry.
 * Times are ticks of 0.1 ms.
 */
public final class DeadlinePolicy {
    /**
     * A transaction waits for an endpoint for at most its latency objective divided by this (or the time to its
     * deadline divided by this, if that is shorter), because the rest is needed for processing.
     */
    private static final int WAIT_DIVISOR = 4;

    private final PolicySettings settings;
    private final LatencyEstimator latency;
    private final RetryBudget budget;
    private final RetryPolicy retryPolicy;

    /** Creates a policy that only reads the estimates and the budget. */
    public DeadlinePolicy(
            PolicySettings settings, LatencyEstimator latency, RetryBudget budget, RetryPolicy retryPolicy) {
        this.settings = settings;
        this.latency = latency;
        this.budget = budget;
        this.retryPolicy = retryPolicy;
    }

    /** Returns whether the deadline has passed without a response. */
    public boolean isOverdue(long now, Transaction transaction) {
        return !transaction.isStreaming() && now >= transaction.deadline();
    }

    /**
     * Returns why the transaction gets no (further) attempt, or null if it gets one. A retry is made only if the
     * remaining time exceeds the expected duration, and the budget has a token or the retry adds no work.
     */
    public RejectionReason rejectionReason(long now, Transaction transaction) {
        if (now >= transaction.deadline()) {
            return RejectionReason.DEADLINE;
        }
        if (!transaction.hasAttempts()) {
            return null;
        }
        if (!hasTimeFor(now, transaction)) {
            return RejectionReason.INSUFFICIENT_TIME;
        }
        return budget.hasToken() || !transaction.retryAddsWork() ? null : RejectionReason.RETRY_BUDGET;
    }

    /**
     * Returns whether a transaction without an available endpoint may wait for one; a transaction that was sent before
     * may not.
     */
    public boolean mayWaitForEndpoint(long now, Transaction transaction) {
        long objective = settings.profiles().get(transaction.profile()).latencyObjectiveTicks();
        long maxWait = Math.min(objective, transaction.deadline() - transaction.arrivedAt()) / WAIT_DIVISOR;
        return !transaction.hasAttempts() && now - transaction.arrivedAt() < maxWait;
    }

    /**
     * Returns whether to cancel the attempt in flight so that a retry follows when it has ended. This requires that its
     * endpoint has been ejected, that it has taken longer than expected, and that a retry is possible.
     */
    public boolean shouldCancelAndRetry(long now, Transaction transaction) {
        Attempt attempt = transaction.lastAttempt();
        return attempt.endpoint().ejection().isEjected()
                && now - attempt.sentAt() > attempt.expectedTicks()
                && budget.hasToken()
                && retryPolicy.mayReplaceCancelled(transaction)
                && hasTimeFor(now, transaction);
    }

    private boolean hasTimeFor(long now, Transaction transaction) {
        return transaction.deadline() - now > latency.expectedTicks(transaction.profile(), transaction.costHint());
    }
}
