package trestlegrade.policy.retry;

import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;
import trestlegrade.policy.settings.PolicySettings.DeduplicationScope;
import trestlegrade.policy.settings.PolicySettings.Idempotency;
import trestlegrade.policy.settings.PolicySettings.Profile;

/**
 * Rule 2: no transaction takes effect twice. Says whether a transaction may be sent (again), and whether its client may
 * be told that it had no effect; every path asks here.
 *
 * <p>An idempotent transaction may always be repeated. One with an idempotency key may be, within its window after the
 * first attempt that may have run, at the endpoints that share the journal of that attempt. Any other may be only while
 * no attempt may have run. At most one attempt is in flight. Times are ticks of 0.1 ms.
 */
public final class RetryPolicy {
    /** A resend travels and may wait for a connection: a tenth of a second of the window is left for that. */
    private static final long WINDOW_MARGIN_TICKS = 1_000;

    private final PolicySettings settings;

    /** Has no state of its own. */
    public RetryPolicy(PolicySettings settings) {
        this.settings = settings;
    }

    /** Whether the transaction may be sent (again) to this endpoint. */
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

    private static boolean shareJournal(DeduplicationScope group, Endpoint one, Endpoint other) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }

    /** Whether the client may be told that the transaction had no effect and that trying again is harmless. */
    public boolean mayRollBack(Transaction transaction) {
        Profile profile = profile(transaction);
        return profile.idempotency() == Idempotency.IDEMPOTENT
                || transaction.firstPossiblyExecutedAttempt() == null
                || (profile.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                        && profile.deduplicationScope() == DeduplicationScope.ALL);
    }

    /** Whether a retry may follow an attempt that has been cancelled, as far as settings and profile tell. */
    public boolean mayReplaceCancelled(Transaction transaction) {
        return settings.cancellationAllowed()
                && profile(transaction).idempotency() != Idempotency.NON_IDEMPOTENT
                && transaction.attempts().size() < settings.maxAttempts();
    }

    /** Whether the transaction may be repeated at any time. */
    public boolean isIdempotent(Transaction transaction) {
        return profile(transaction).idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Whether an attempt that may have run ends the transaction. */
    public boolean isNonIdempotent(Transaction transaction) {
        return profile(transaction).idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    private Profile profile(Transaction transaction) {
        return settings.profiles().get(transaction.profile());
    }
}
