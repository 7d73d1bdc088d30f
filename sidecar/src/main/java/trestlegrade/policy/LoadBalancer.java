package trestlegrade.policy;

import java.util.List;
import trestlegrade.policy.admission.FairShare;
import trestlegrade.policy.admission.LoadShedder;
import trestlegrade.policy.admission.SlowStartBudget;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.estimate.LatencyEstimator;
import trestlegrade.policy.health.DropRateGrader;
import trestlegrade.policy.health.HalfOpenProbes;
import trestlegrade.policy.health.OutlierEjection;
import trestlegrade.policy.health.SilenceDetector;
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
import trestlegrade.policy.selection.EndpointSelector;
import trestlegrade.policy.selection.KeyAffinity;
import trestlegrade.policy.selection.RingLayout;
import trestlegrade.policy.selection.ZoneAffinity;
import trestlegrade.policy.settings.PolicySettings;

/**
 * All decisions of one sidecar, step by step: where each transaction's attempts go, and when it is rejected. Each rule
 * stands in a class of its own; this one only calls them in order. What is decided is asked of the
 * {@link PolicyActions}. Does no I/O and reads no clock: times are ticks of 0.1 ms that the caller passes in and that
 * never go back. Not thread-safe.
 */
public final class LoadBalancer {
    /** Every second tick of the coarsest system clock in use; half the slack usual for final answers. */
    private static final long TICK_INTERVAL = 100;
    /** Ticks that are left out while nothing is open are made up for, up to so many. */
    private static final double MOST_TICKS_MADE_UP = 20;
    /** A call of discovery takes about as long to be made and answered. */
    private static final long STALE_LIST_RETRY_AFTER = 10_000;

    private static final long NOT_SCHEDULED = 0;

    private final PolicySettings settings;
    private final PolicyActions actions;
    private final EndpointListLease lease;
    private final DiscoveryBackoff discoveryBackoff;
    private final TransactionTable transactions = new TransactionTable();
    private final EndpointTable endpoints;
    private final FleetSummary fleet;
    private final LatencyEstimator latency;
    private final FairShare fairShare;
    private final LoadShedder loadShedder;
    private final SlowStartBudget slowStartBudget;
    private final RetryBudget retryBudget = new RetryBudget();
    private final RetryPolicy retryPolicy;
    private final DeadlinePolicy deadlinePolicy;
    private final DropRateGrader dropRateGrader;
    private final SilenceDetector silenceDetector = new SilenceDetector();
    private final OutlierEjection outlierEjection;
    private final HalfOpenProbes halfOpenProbes;
    private final ZoneAffinity zoneAffinity;
    private final KeyAffinity keyAffinity;
    private final RingLayout ringLayout;
    private final EndpointSelector endpointSelector;

    private boolean tickScheduled;
    private long lastTickAt;
    private long subscribeAt = NOT_SCHEDULED;
    /** A first attempt found no endpoint in this tick: the others are spared a search that would fail as well. */
    private boolean noEndpointThisTick;

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
        discoveryBackoff = new DiscoveryBackoff(settings, seed);
        endpoints = new EndpointTable(settings);
        fleet = new FleetSummary(endpoints, settings);
        latency = new LatencyEstimator(settings);
        fairShare = new FairShare(settings);
        loadShedder = new LoadShedder(settings, latency, fairShare, random);
        slowStartBudget = new SlowStartBudget(settings, fleet, latency, random);
        retryPolicy = new RetryPolicy(settings);
        deadlinePolicy = new DeadlinePolicy(settings, latency, retryBudget, retryPolicy);
        dropRateGrader = new DropRateGrader(endpoints, fleet);
        outlierEjection = new OutlierEjection(endpoints, fleet);
        halfOpenProbes = new HalfOpenProbes(endpoints, fleet, retryPolicy, slowStartBudget, lease, random);
        zoneAffinity = new ZoneAffinity(settings, fleet, random);
        keyAffinity = new KeyAffinity(settings, zoneAffinity, random);
        ringLayout = new RingLayout(endpoints, fleet, settings, random);
        endpointSelector = new EndpointSelector(
                settings,
                endpoints,
                fleet,
                ringLayout,
                zoneAffinity,
                loadShedder,
                silenceDetector,
                retryPolicy,
                slowStartBudget,
                lease,
                random);
    }

    /** Begins; to be called once, before all else. */
    public void start(long now) {
        dropRateGrader.start(now);
        lastTickAt = now;
        if (settings.listOnRequest()) {
            actions.subscribe();
        }
    }

    /**
     * The endpoint list, or a change of it.
     *
     * @param complete whether endpoints that are not named have left
     * @param cached whether the list was kept from an earlier run, and says nothing of discovery now
     */
    public void onEndpointUpdates(long now, List<EndpointUpdate> updates, boolean complete, boolean cached) {
        if (!cached) {
            discoveryBackoff.succeeded();
        }
        endpoints.apply(now, updates, complete);
        ringLayout.onEndpointUpdates();
        dispatchWaiting(now);
    }

    /** A call for the list failed, or the subscription ended: it is made again after a backoff. */
    public void onEndpointListFailed(long now) {
        subscribeAt = now + discoveryBackoff.afterFailure();
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

    /** The response of an attempt has begun to flow to the client: the deadline is met. */
    public void onStreaming(long id, int attempt) {
        Transaction transaction = transactions.get(id);
        if (transaction != null) {
            transaction.markStreaming();
        }
    }

    /**
     * An attempt has ended; ignored if it has ended before.
     *
     * @param answered whether its response is the transaction's final answer
     */
    public void onAttemptEnded(
            long now, long id, int number, AttemptOutcome outcome, long tookTicks, boolean answered) {
        Transaction transaction = transactions.get(id);
        Attempt attempt = transaction == null ? null : transaction.endAttempt(number, outcome);
        if (attempt == null) {
            return;
        }
        if (answered) {
            markAnswered(transaction);
        }
        learn(now, transaction, attempt, tookTicks);
        if (!transaction.isStreaming()) {
            dispatch(now, transaction);
        }
        transactions.removeIfOver(transaction);
    }

    /** The client is gone: no answer is owed. */
    public void onClientDisconnected(long now, long id) {
        Transaction transaction = transactions.get(id);
        if (transaction != null) {
            markAnswered(transaction);
        }
    }

    /** A tick that was asked for by {@link PolicyActions#scheduleTick}; an additional one does no harm. */
    public void onTick(long now) {
        tickScheduled = false;
        if (subscribeAt != NOT_SCHEDULED && now >= subscribeAt) {
            subscribeAt = NOT_SCHEDULED;
            actions.subscribe();
        }
        silenceDetector.measure(now, transactions.open(), loadShedder.recentMeanTicks(now));
        outlierEjection.ejectSilent(now, silenceDetector.observed());
        silenceDetector.count(now, loadShedder.isJammed());
        double ticksPassed = Math.min(MOST_TICKS_MADE_UP, (double) Math.max(1, (now - lastTickAt) / TICK_INTERVAL));
        loadShedder.onTick(now, silenceDetector, ticksPassed);
        zoneAffinity.onTick(loadShedder.expectedWaitTicks(), loadShedder.leastPermittedWaitTicks(), ticksPassed);
        lastTickAt = now;
        grade(now);
        dispatchWaiting(now);
        transactions.retainOpen(transaction -> expireOrCancelLost(now, transaction));
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
            actions.scheduleTick(TICK_INTERVAL);
        }
    }

    private void grade(long now) {
        for (int steps = dropRateGrader.takeStepsDue(now); steps > 0; steps--) {
            dropRateGrader.step(now);
            latency.onGradingStep();
            fleet.onHealthChanged(now);
        }
    }

    private void dispatchWaiting(long now) {
        noEndpointThisTick = false;
        transactions.takeWaiting().forEach(transaction -> dispatch(now, transaction));
    }

    /** Sends the transaction's next attempt, keeps it until an endpoint may take it, or rejects it. */
    private void dispatch(long now, Transaction transaction) {
        if (transaction.isAnswered()) {
            return;
        }
        RejectionReason reason = deadlinePolicy.rejectionReason(now, transaction);
        if (reason != null) {
            reject(transaction, 0, reason);
        } else if (!transaction.hasAttempts() && loadShedder.sheds(now, transaction)) {
            reject(transaction, settings.longestPause(), RejectionReason.OVERLOAD);
        } else {
            place(now, transaction);
        }
    }

    private void place(long now, Transaction transaction) {
        boolean first = !transaction.hasAttempts();
        boolean searches = !(first && noEndpointThisTick);
        Endpoint probed = searches ? halfOpenProbes.endpointToProbe(now, transaction) : null;
        if (probed != null) {
            send(now, transaction, probed, true);
            return;
        }
        Endpoint endpoint = searches ? select(now, transaction) : null;
        if (endpoint != null) {
            send(now, transaction, endpoint, false);
            return;
        }
        noEndpointThisTick |= first;
        if (!lease.valid(now)) {
            reject(transaction, STALE_LIST_RETRY_AFTER, RejectionReason.STALE_LIST);
        } else if (deadlinePolicy.mayWaitForEndpoint(now, transaction)) {
            transactions.addWaiting(transaction);
        } else {
            reject(transaction, 0, RejectionReason.NO_SERVER);
        }
    }

    private Endpoint select(long now, Transaction transaction) {
        ringLayout.refresh(lastTickAt);
        return endpointSelector.select(now, transaction);
    }

    private void send(long now, Transaction transaction, Endpoint endpoint, boolean probe) {
        if (transaction.retryAddsWork()) {
            retryBudget.onRetrySent();
        }
        double expectedTicks = latency.expectedTicks(transaction.profile(), transaction.costHint());
        transaction.addAttempt(new Attempt(endpoint, now, expectedTicks, probe));
        endpoint.onSent(now, latency.work(transaction.profile(), transaction.costHint()), probe);
        loadShedder.onSent(now);
        silenceDetector.onSent(now, endpoint);
        long writeBefore = lease.end(endpoint.serviceProof().servedAt());
        actions.send(transaction.id(), endpoint.id(), transaction.deadline() - now, writeBefore);
    }

    /** What an attempt's end tells of its endpoint and of the wait. */
    private void learn(long now, Transaction transaction, Attempt attempt, long tookTicks) {
        Endpoint endpoint = attempt.endpoint();
        AttemptOutcome outcome = attempt.outcome();
        silenceDetector.onAttemptEnded(now, endpoint);
        endpoint.onAttemptEnded(now, attempt);
        if (!outcome.isUninformative()) {
            endpoint.calls().onAttemptEnded(now, transaction.profile(), attempt, tookTicks);
            if (outcome == AttemptOutcome.COMMITTED) {
                slowStartBudget.onCommitted(now, endpoint, transaction);
            }
            if (outcome == AttemptOutcome.COMMITTED || outcome == AttemptOutcome.TIMED_OUT) {
                dropRateGrader.onAnswer(now);
                latency.onAnswer(transaction.profile(), transaction.costHint(), tookTicks);
            }
            outlierEjection.onAttemptEnded(now, attempt, dropRateGrader.recentSpan());
        }
        loadShedder.onAttemptEnded(now, attempt, tookTicks);
    }

    /** Answers a transaction that is overdue, and cancels an attempt that is lost; whether it stays open. */
    private boolean expireOrCancelLost(long now, Transaction transaction) {
        if (!transaction.isAnswered() && deadlinePolicy.isOverdue(now, transaction)) {
            reject(transaction, 0, RejectionReason.DEADLINE);
        }
        if (transaction.isAnswered()) {
            return false;
        }
        if (transaction.attemptsInFlight() == 1
                && !transaction.isStreaming()
                && deadlinePolicy.isLost(now, transaction)) {
            actions.cancel(transaction.id(), transaction.attempts().size() - 1);
        }
        return true;
    }

    /** The final answer when nothing more is tried: at once, so that the client can turn elsewhere. */
    private void reject(Transaction transaction, long retryAfterTicks, RejectionReason reason) {
        if (retryPolicy.mayRollBack(transaction)) {
            long pause = settings.pauses() ? Math.min(retryAfterTicks, settings.longestPause()) : 0;
            actions.rollBack(transaction.id(), pause, reason);
        } else {
            actions.abandon(transaction.id(), reason);
        }
        markAnswered(transaction);
    }

    /** Marks the transaction as answered; attempts still in flight are of no more use. */
    private void markAnswered(Transaction transaction) {
        if (transaction.isAnswered()) {
            return;
        }
        transaction.markAnswered();
        if (settings.cancelling()) {
            for (int i = 0; i < transaction.attempts().size(); i++) {
                if (transaction.attempts().get(i).inFlight()) {
                    actions.cancel(transaction.id(), i);
                }
            }
        }
        transactions.removeIfOver(transaction);
    }
}
