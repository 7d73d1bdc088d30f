package trestlegrade.policy.retry;

import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;
import trestlegrade.policy.settings.PolicySettings.DeduplicationScope;
import trestlegrade.policy.settings.PolicySettings.Idempotency;
import trestlegrade.policy.settings.PolicySettings.Profile;

/**
 * Enforces rule 2: no transaction takes effect twice. Decides whether a transaction may be sent (again), and whether
 * its client may be notified that it had no effect. Every path that sends or rejects checks this policy.
 *
 * <p>An idempotent transaction may always be repeated. A transaction with an idempotency key may be repeated within its
 * deduplication window, which begins with the first attempt that may have been executed, at the endpoints that share
 * the journal of that attempt. Any other transaction may be repeated only while no attempt may have been executed. At
 * most one attempt is in flight. Times are ticks of 0.1 ms.
 */
public final class RetryPolicy {
    /**
     * Nothing is resent in the last 0.1 s of the deduplication window, because a resend takes time to arrive and may
     * wait for a connection.
     */
    private static final long WINDOW_MARGIN_TICKS = 1_000;

    private final PolicySettings settings;

    /** Creates a policy, which has no state of its own. */
    public RetryPolicy(PolicySettings settings) {
        this.settings = settings;
    }

    /** Returns whether the transaction may be sent (again) to this endpoint. */
    public boolean maySend(long now, Transaction transaction, Endpoint endpoint) {
        if (transaction.isClosed()
                || transaction.attempts().size() >= settings.maxAttempts()
                || transaction.attemptsInFlight() > 0) {
            return false;
        }
        Profile profile = profile(transaction);
        Attempt first = transaction.firstPossiblyExecutedAttempt();
        if (first == null || profile.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return profile.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                && now - first.sentAt() < profile.deduplicationWindowTicks() - WINDOW_MARGIN_TICKS
                && shareJournal(profile.deduplicationScope(), first.endpoint(), endpoint);
    }

    private static boolean shareJournal(DeduplicationScope scope, Endpoint one, Endpoint other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }

    /** Returns whether the client may be notified that the transaction had no effect and that a retry is safe. */
    public boolean mayRollBack(Transaction transaction) {
        Profile profile = profile(transaction);
        return profile.idempotency() == Idempotency.IDEMPOTENT
                || transaction.firstPossiblyExecutedAttempt() == null
                || (profile.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                        && profile.deduplicationScope() == DeduplicationScope.ALL);
    }

    /** Returns whether the settings and the profile allow a retry after an attempt that has been cancelled. */
    public boolean mayReplaceCancelled(Transaction transaction) {
        return settings.cancellationAllowed()
                && profile(transaction).idempotency() != Idempotency.NON_IDEMPOTENT
                && transaction.attempts().size() < settings.maxAttempts();
    }

    /** Returns whether the transaction may be repeated at any time. */
    public boolean isIdempotent(Transaction transaction) {
        return profile(transaction).idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Returns whether the transaction must not be repeated once an attempt may have been executed. */
    public boolean isNonIdempotent(Transaction transaction) {
        return profile(transaction).idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    private Profile profile(Transaction transaction) {
        return settings.profiles().get(transaction.profile());
    }
}
