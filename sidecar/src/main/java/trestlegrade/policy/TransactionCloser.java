package trestlegrade.policy;

import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.retry.DeadlinePolicy;
import trestlegrade.policy.retry.RetryPolicy;
import trestlegrade.policy.settings.PolicySettings;

/** Closes each transaction with exactly one final response, and cancels attempts that are no longer useful. */
final class TransactionCloser {
    private final PolicySettings settings;
    private final PolicyActions actions;
    private final TransactionTable transactions;
    private final RetryPolicy retryPolicy;
    private final DeadlinePolicy deadlinePolicy;

    TransactionCloser(
            PolicySettings settings,
            PolicyActions actions,
            TransactionTable transactions,
            RetryPolicy retryPolicy,
            DeadlinePolicy deadlinePolicy) {
        this.settings = settings;
        this.actions = actions;
        this.transactions = transactions;
        this.retryPolicy = retryPolicy;
        this.deadlinePolicy = deadlinePolicy;
    }

    /** Rejects a transaction without a Retry-After, so that the client can retry elsewhere at once. */
    void reject(Transaction transaction, RejectionReason reason) {
        reject(transaction, reason, 0);
    }

    /** Rejects a transaction and asks the client to wait before it retries, as far as the settings permit. */
    void reject(Transaction transaction, RejectionReason reason, long retryAfterTicks) {
        if (retryPolicy.mayRollBack(transaction)) {
            long retryAfter =
                    settings.retryAfterAllowed() ? Math.min(retryAfterTicks, settings.maxRetryAfterTicks()) : 0;
            actions.rollBack(transaction.id(), retryAfter, reason);
        } else {
            actions.abandon(transaction.id(), reason);
        }
        close(transaction);
    }

    /** Closes the transaction and cancels its attempt in flight; has no effect on a closed transaction. */
    void close(Transaction transaction) {
        if (transaction.isClosed()) {
            return;
        }
        transaction.markClosed();
        if (settings.cancellationAllowed() && transaction.attemptsInFlight() > 0) {
            cancelLastAttempt(transaction);
        }
        transactions.removeIfFinished(transaction);
    }

    /**
     * Rejects transactions whose deadline has passed, and cancels lost attempts. The end of a cancelled attempt
     * triggers the retry.
     */
    void onTick(long now) {
        transactions.retainOpen(transaction -> {
            if (!transaction.isClosed() && deadlinePolicy.isOverdue(now, transaction)) {
                reject(transaction, RejectionReason.DEADLINE);
            }
            if (!transaction.isClosed()) {
                cancelIfLost(now, transaction);
            }
            return !transaction.isClosed();
        });
    }

    private void cancelIfLost(long now, Transaction transaction) {
        if (transaction.attemptsInFlight() > 0
                && !transaction.isStreaming()
                && deadlinePolicy.shouldCancelAndRetry(now, transaction)) {
            cancelLastAttempt(transaction);
        }
    }

    private void cancelLastAttempt(Transaction transaction) {
        actions.cancel(transaction.id(), transaction.attempts().size() - 1);
    }
}
