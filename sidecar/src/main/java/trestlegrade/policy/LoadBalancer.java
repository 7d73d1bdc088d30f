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
 * Makes all load-balancing decisions of one sidecar: the endpoint of each attempt, and the rejection of transactions.
 * Each rule is implemented in a class of its own; this class calls them in order and requests the resulting actions
 * from {@link PolicyActions}. Does no I/O and reads no clock: times are ticks of 0.1 ms that the caller passes in and
 * that never decrease. Not thread-safe.
 */
public final class LoadBalancer {
    /** One second, which is about the duration of a call to discovery. */
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

    /** Creates a load balancer whose endpoint list never becomes stale. */
    public LoadBalancer(PolicySettings settings, long seed, PolicyActions actions) {
        this(settings, seed, actions, EndpointListLease.permanent());
    }

    /** Creates a load balancer that sends only while the lease permits it; the caller renews the lease. */
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

    /** Starts the load balancer; must be called once, before any other method. */
    public void start(long now) {
        monitor.start(now);
        if (settings.listPolled()) {
            actions.subscribe();
        }
    }

    /**
     * Applies the endpoint list or a change to it.
     *
     * @param complete whether endpoints that are not in the updates have been removed from the list
     * @param cached whether the list was known before (at start or reload), so that it does not show that discovery is
     *     reachable
     */
    public void onEndpointUpdates(long now, List<EndpointUpdate> updates, boolean complete, boolean cached) {
        if (!cached) {
            discoveryBackoff.onSuccess();
        }
        endpoints.apply(now, updates, complete);
        placer.onEndpointUpdates();
        dispatchWaiting(now);
    }

    /** Handles a failed call for the list or the end of the watch: schedules another call after a backoff. */
    public void onEndpointListFailed(long now) {
        subscribeAt = now + discoveryBackoff.delayAfterFailure();
        scheduleTick();
    }

    /**
     * Handles the arrival of a transaction.
     *
     * @param customer index into the settings' customers; any other number stands for an unknown customer
     * @param key key by which the endpoints cache, or 0 if there is none
     * @param timeoutTicks time until the deadline
     * @param costHint the client's estimate of the work, or 0 if there is none
     */
    public void onArrival(long now, long id, int profile, int customer, long key, long timeoutTicks, long costHint) {
        Transaction transaction =
                new Transaction(id, profile, fairShare.indexOf(customer), now, now + timeoutTicks, costHint);
        transaction.setKeyPosition(keyAffinity.onArrival(key));
        transactions.add(transaction);
        fairShare.onArrival(now, transaction);
        scheduleTick();
        retryBudget.onArrival();
        dispatch(now, transaction);
    }

    /**
     * Handles the start of a response that is streamed to the client; the transaction then meets its deadline. Called
     * only by the simulator, because the sidecar process forwards only complete responses.
     */
    public void onStreaming(long id, int attempt) {
        Transaction transaction = transactions.get(id);
        if (transaction != null) {
            transaction.markStreaming();
        }
    }

    /**
     * Handles the end of an attempt; has no effect if that attempt has ended before.
     *
     * @param closed whether the client gets no further response, because this attempt's response was the final one or
     *     the client has disconnected
     */
    public void onAttemptEnded(
            long now, long id, int number, AttemptOutcome outcome, long durationTicks, boolean closed) {
        Transaction transaction = transactions.get(id);
        Attempt attempt = transaction == null ? null : transaction.endAttempt(number, outcome);
        if (attempt == null) {
            return;
        }
        if (closed) {
            closer.close(transaction);
        }
        monitor.onAttemptEnded(now, transaction, attempt, durationTicks);
        if (!transaction.isStreaming()) {
            dispatch(now, transaction);
        }
        transactions.removeIfFinished(transaction);
    }

    /** Handles a client that has disconnected: its transaction needs no final response. */
    public void onClientDisconnected(long now, long id) {
        Transaction transaction = transactions.get(id);
        if (transaction != null) {
            closer.close(transaction);
        }
    }

    /** Runs a tick requested through {@link PolicyActions#scheduleTick}; additional calls are harmless. */
    public void onTick(long now) {
        tickScheduled = false;
        if (subscribeAt != NOT_SCHEDULED && now >= subscribeAt) {
            subscribeAt = NOT_SCHEDULED;
            actions.subscribe();
        }
        monitor.onTick(now, transactions);
        dispatchWaiting(now);
        closer.onTick(now);
        // An idle sidecar schedules no ticks, so that hundreds of idle sidecars use no CPU time.
        if (!transactions.isIdle() || subscribeAt != NOT_SCHEDULED) {
            scheduleTick();
        }
    }

    /** Limits the deadline of every open transaction, for a graceful shutdown. */
    public void shutDownBy(long latestDeadline) {
        transactions.open().forEach(transaction -> transaction.limitDeadline(latestDeadline));
    }

    /** Returns the number of transactions in memory: those that are open and those with an attempt in flight. */
    public int heldTransactions() {
        return transactions.size();
    }

    /** Returns the endpoint with this id, or null if it is unknown. */
    public Endpoint endpoint(long id) {
        return endpoints.byId(id);
    }

    /** Returns the quota tracking of the customers, for tests. */
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
        placer.beforeWaitingRetried();
        transactions.takeWaiting().forEach(transaction -> dispatch(now, transaction));
    }

    /** Sends the transaction's next attempt, queues it until an endpoint may take it, or rejects it. */
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
        // Must precede addAttempt, because retryAddsWork() also counts an attempt in flight.
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
