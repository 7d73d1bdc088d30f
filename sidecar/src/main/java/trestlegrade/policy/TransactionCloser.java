package trestlegrade.policy;

import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.retry.DeadlinePolicy;
import trestlegrade.policy.retry.RetryPolicy;
import trestlegrade.policy.settings.PolicySettings;

/** Gives transactions their final answer, once, and cancels attempts that are of no more use. */
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

    /** Rejects a transaction for which nothing more is tried: at once, so that the client can turn elsewhere. */
    void reject(Transaction transaction, RejectionReason reason) {
        reject(transaction, reason, 0);
    }

    /** Rejects a transaction and asks the client to wait before it tries again, as far as the settings allow. */
    void reject(Transaction transaction, RejectionReason reason, long retryAfterTicks) {
        if (retryPolicy.mayRollBack(transaction)) {
            long retryAfter =
                    settings.retryAfterAllowed() ? Math.min(retryAfterTicks, settings.maxRetryAfterTicks()) : 0;
            actions.rollBack(transaction.id(), retryAfter, reason);
        } else {
            actions.abandon(transaction.id(), reason);
        }
        markClosed(transaction);
    }

    /** Marks the transaction as answered, and cancels what is in flight; does nothing the second time. */
    void markClosed(Transaction transaction) {
        if (transaction.isClosed()) {
            return;
        }
        transaction.markClosed();
        if (settings.cancellationAllowed() && transaction.attemptsInFlight() > 0) {
            cancelLastAttempt(transaction);
        }
        transactions.removeIfOver(transaction);
    }

    /** At each tick: rejects what is overdue, and cancels attempts that are lost, whose ends bring retries. */
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
