package trestlegrade.policy.retry;

import trestlegrade.policy.estimate.LatencyEstimator;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Rule 1: each transaction has its one final answer by its deadline. Says whether another attempt is still worth it,
 * how long one waits for an endpoint, and which attempts are lost. Times are ticks of 0.1 ms.
 */
public final class DeadlinePolicy {
    /**
     * With no endpoint to send to, one part in so many of the latency objective is waited: the rest is left for the
     * work.
     */
    private static final int WAIT_DIVISOR = 4;

    private final PolicySettings settings;
    private final LatencyEstimator latency;
    private final RetryBudget budget;
    private final RetryPolicy retryPolicy;

    /** Reads the estimates and the budget; changes neither. */
    public DeadlinePolicy(
            PolicySettings settings, LatencyEstimator latency, RetryBudget budget, RetryPolicy retryPolicy) {
        this.settings = settings;
        this.latency = latency;
        this.budget = budget;
        this.retryPolicy = retryPolicy;
    }

    /** Whether its deadline has passed without an answer. */
    public boolean isOverdue(long now, Transaction transaction) {
        return !transaction.isStreaming() && now >= transaction.deadline();
    }

    /**
     * Why the transaction gets no (further) attempt, or null if it does: a retry only if the time left exceeds the time
     * that it is expected to take, and within the budget.
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

    /** Whether a transaction for which there is no endpoint may wait for one: none that was sent before does. */
    public boolean mayWaitForEndpoint(long now, Transaction transaction) {
        long objective = settings.profiles().get(transaction.profile()).latencyObjectiveTicks();
        long longest = Math.min(objective, transaction.deadline() - transaction.arrivedAt()) / WAIT_DIVISOR;
        return !transaction.hasAttempts() && now - transaction.arrivedAt() < longest;
    }

    /**
     * Whether the attempt in flight is lost and shall be cancelled, so that a retry follows its end: its endpoint has
     * been ejected since, it has taken longer than expected, and the retry is possible.
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
