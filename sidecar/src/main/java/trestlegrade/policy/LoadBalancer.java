package trestlegrade.policy;

import java.util.List;
import trestlegrade.policy.admission.FairShare;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.retry.DeadlinePolicy;
import trestlegrade.policy.retry.DiscoveryBackoff;
import trestlegrade.policy.retry.RetryBudget;
import trestlegrade.policy.retry.RetryPolicy;
import trestlegrade.policy.selection.KeyAffinity;
import trestlegrade.policy.settings.PolicySettings;

/**
 * All decisions of one sidecar, step by step: where each transaction's attempts go, and when it is rejected. Each rule
 * stands in a class of its own; this one only calls them in order. What is decided is asked of the
 * {@link PolicyActions}. Does no I/O and reads no clock: times are ticks of 0.1 ms that the caller passes in and that
 * never go back. Not thread-safe.
 */
public final class LoadBalancer {
    /** One second: about what a call of discovery takes. */
    private static final long STALE_LIST_RETRY_AFTER_TICKS = 10_000;

    private static final long NOT_SCHEDULED = 0;

    private final PolicySettings settings;
    private final PolicyActions actions;
    private final EndpointListLease lease;
    private final DiscoveryBackoff discoveryBackoff;
    private final EndpointTable endpoints;
    private final TransactionTable transactions = new TransactionTable();
    private final FairShare fairShare;
    private final KeyAffinity keyAffinity;
    private final RetryBudget retryBudget = new RetryBudget();
    private final DeadlinePolicy deadlinePolicy;
    private final AttemptMonitor monitor;
    private final AttemptPlacer placer;
    private final TransactionCloser closer;

    private boolean tickScheduled;
    private long subscribeAt = NOT_SCHEDULED;

    /** One whose endpoint list is always current. */
    public LoadBalancer(PolicySettings settings, long seed, PolicyActions actions) {
        this(settings, seed, actions, EndpointListLease.permanent());
    }

    /** One that sends only as the lease allows; the lease is kept by the caller. */
    public LoadBalancer(PolicySettings settings, long seed, PolicyActions actions, EndpointListLease lease) {
        this.settings = settings;
        this.actions = actions;
        this.lease = lease;
        SeededRandom random = new SeededRandom(seed);
        RetryPolicy retryPolicy = new RetryPolicy(settings);
        discoveryBackoff = new DiscoveryBackoff(settings, seed);
        endpoints = new EndpointTable(settings);
        fairShare = new FairShare(settings);
        monitor = new AttemptMonitor(settings, endpoints, fairShare, random);
        keyAffinity = new KeyAffinity(settings, monitor.zoneAffinity(), random);
        deadlinePolicy = new DeadlinePolicy(settings, monitor.latency(), retryBudget, retryPolicy);
        placer = new AttemptPlacer(settings, endpoints, monitor, retryPolicy, lease, random);
        closer = new TransactionCloser(settings, actions, transactions, retryPolicy, deadlinePolicy);
    }

    /** Begins; to be called once, before all else. */
    public void start(long now) {
        monitor.start(now);
        if (settings.listPolled()) {
            actions.subscribe();
        }
    }

    /**
     * The endpoint list, or a change of it.
     *
     * @param complete whether endpoints that are not named have left
     * @param cached whether the list was known before (at the start or a reload), and says nothing of discovery now
     */
    public void onEndpointUpdates(long now, List<EndpointUpdate> updates, boolean complete, boolean cached) {
        if (!cached) {
            discoveryBackoff.onSuccess();
        }
        endpoints.apply(now, updates, complete);
        placer.onEndpointUpdates();
        dispatchWaiting(now);
    }

    /** A call for the list failed, or the subscription ended: it is made again after a backoff. */
    public void onEndpointListFailed(long now) {
        subscribeAt = now + discoveryBackoff.delayAfterFailure();
        scheduleTick();
    }

    /**
     * A transaction has arrived.
     *
     * @param customer index into the settings' customers, or any other number
     * @param key what the endpoints cache by, 0 without one
     * @param patienceTicks time until the deadline
     * @param costHint the client's estimate of the work, 0 without one
     */
    public void onArrival(long now, long id, int profile, int customer, long key, long patienceTicks, long costHint) {
        Transaction transaction =
                new Transaction(id, profile, fairShare.indexOf(customer), now, now + patienceTicks, costHint);
        transaction.setKeyPosition(keyAffinity.onArrival(key));
        transactions.add(transaction);
        fairShare.onArrival(now, transaction);
        scheduleTick();
        retryBudget.onArrival();
        dispatch(now, transaction);
    }

    /**
     * The response of an attempt has begun to flow to the client: the deadline is met. Only the simulator calls this;
     * on sockets a response is given whole.
     */
    public void onStreaming(long id, int attempt) {
        Transaction transaction = transactions.get(id);
        if (transaction != null) {
            transaction.markStreaming();
        }
    }

    /**
     * An attempt has ended; ignored if it has ended before.
     *
     * @param answered whether no further answer is owed: this response was it, or the client has left
     */
    public void onAttemptEnded(
            long now, long id, int number, AttemptOutcome outcome, long tookTicks, boolean answered) {
        Transaction transaction = transactions.get(id);
        Attempt attempt = transaction == null ? null : transaction.endAttempt(number, outcome);
        if (attempt == null) {
            return;
        }
        if (answered) {
            closer.markClosed(transaction);
        }
        monitor.onAttemptEnded(now, transaction, attempt, tookTicks);
        if (!transaction.isStreaming()) {
            dispatch(now, transaction);
        }
        transactions.removeIfOver(transaction);
    }

    /** The client is gone: no answer is owed. */
    public void onClientDisconnected(long now, long id) {
        Transaction transaction = transactions.get(id);
        if (transaction != null) {
            closer.markClosed(transaction);
        }
    }

    /** A tick that was asked for by {@link PolicyActions#scheduleTick}; an additional one does no harm. */
    public void onTick(long now) {
        tickScheduled = false;
        if (subscribeAt != NOT_SCHEDULED && now >= subscribeAt) {
            subscribeAt = NOT_SCHEDULED;
            actions.subscribe();
        }
        monitor.onTick(now, transactions);
        dispatchWaiting(now);
        closer.onTick(now);
        // No tick while nothing is open: hundreds of idle sidecars cost nothing.
        if (!transactions.isIdle() || subscribeAt != NOT_SCHEDULED) {
            scheduleTick();
        }
    }

    /** Graceful shutdown: whatever is open has its final answer by then. */
    public void shutDownBy(long latestDeadline) {
        transactions.open().forEach(transaction -> transaction.limitDeadline(latestDeadline));
    }

    /** Transactions that are not forgotten yet: those without an answer, and those with attempts in flight. */
    public int heldTransactions() {
        return transactions.size();
    }

    /** What is known of an endpoint, or null if nothing is. */
    public Endpoint endpoint(long id) {
        return endpoints.byId(id);
    }

    /** The customers' quotas, for tests. */
    FairShare fairShare() {
        return fairShare;
    }

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            actions.scheduleTick(AttemptMonitor.TICK_INTERVAL);
        }
    }

    private void dispatchWaiting(long now) {
        placer.beforeWaitingPlacedAgain();
        transactions.takeWaiting().forEach(transaction -> dispatch(now, transaction));
    }

    /** Sends the transaction's next attempt, keeps it until an endpoint may take it, or rejects it. */
    private void dispatch(long now, Transaction transaction) {
        if (transaction.isClosed()) {
            return;
        }
        RejectionReason reason = deadlinePolicy.rejectionReason(now, transaction);
        if (reason != null) {
            closer.reject(transaction, reason);
            return;
        }
        if (!transaction.hasAttempts() && monitor.loadShedder().sheds(now, transaction)) {
            closer.reject(transaction, RejectionReason.OVERLOAD, settings.maxRetryAfterTicks());
            return;
        }
        Attempt attempt = placer.place(now, transaction);
        if (attempt != null) {
            send(now, transaction, attempt);
        } else {
            waitForEndpoint(now, transaction);
        }
    }

    private void send(long now, Transaction transaction, Attempt attempt) {
        // Before addAttempt: an attempt in flight counts as adding work.
        if (transaction.retryAddsWork()) {
            retryBudget.onRetrySent();
        }
        transaction.addAttempt(attempt);
        monitor.onSent(now, transaction, attempt);
        Endpoint endpoint = attempt.endpoint();
        long writeBefore = lease.expiresAt(endpoint.servingState().servedAt());
        actions.send(transaction.id(), endpoint.id(), transaction.deadline() - now, writeBefore);
    }

    private void waitForEndpoint(long now, Transaction transaction) {
        if (!lease.isValid(now)) {
            closer.reject(transaction, RejectionReason.STALE_LIST, STALE_LIST_RETRY_AFTER_TICKS);
        } else if (deadlinePolicy.mayWaitForEndpoint(now, transaction)) {
            transactions.addWaiting(transaction);
        } else {
            closer.reject(transaction, RejectionReason.NO_ENDPOINT);
        }
    }
}
