package trestlegrade.policy;

import trestlegrade.policy.admission.FairShare;
import trestlegrade.policy.admission.LoadShedder;
import trestlegrade.policy.admission.SlowStartBudget;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.estimate.LatencyEstimator;
import trestlegrade.policy.health.DropRateGrader;
import trestlegrade.policy.health.OutlierEjection;
import trestlegrade.policy.health.SilenceDetector;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.selection.ZoneAffinity;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Feeds the start and end of attempts and the periodic ticks to all components that use them, in the order of their
 * dependencies. Times are ticks of 0.1 ms.
 */
final class AttemptMonitor {
    /**
     * 10 ms, which is two periods of the coarsest system clock in use and half the usual tolerance for late final
     * responses.
     */
    static final long TICK_INTERVAL = 100;
    /** No ticks run while no transaction is open; the next tick accounts for at most this many skipped ones. */
    private static final double MAX_ELAPSED_PERIODS = 20;

    private final FleetSummary fleet;
    private final LatencyEstimator latency;
    private final LoadShedder loadShedder;
    private final SlowStartBudget slowStartBudget;
    private final DropRateGrader dropRateGrader;
    private final SilenceDetector silenceDetector = new SilenceDetector();
    private final OutlierEjection outlierEjection;
    private final ZoneAffinity zoneAffinity;
    private long lastTickAt;

    AttemptMonitor(PolicySettings settings, EndpointTable endpoints, FairShare fairShare, SeededRandom random) {
        fleet = new FleetSummary(endpoints, settings);
        latency = new LatencyEstimator(settings);
        loadShedder = new LoadShedder(settings, latency, fairShare, random);
        slowStartBudget = new SlowStartBudget(settings, fleet, latency, random);
        dropRateGrader = new DropRateGrader(endpoints, fleet);
        outlierEjection = new OutlierEjection(endpoints, fleet);
        zoneAffinity = new ZoneAffinity(settings, fleet, random);
    }

    void start(long now) {
        dropRateGrader.start(now);
        lastTickAt = now;
    }

    /** Records that an attempt is sent. */
    void onSent(long now, Transaction transaction, Attempt attempt) {
        Endpoint endpoint = attempt.endpoint();
        endpoint.onSent(now, latency.work(transaction.profile(), transaction.costHint()), attempt.isProbe());
        loadShedder.onSent(now);
        silenceDetector.onSent(now, endpoint);
    }

    /** Records the end of an attempt in the statistics of its endpoint and in those of the expected wait. */
    void onAttemptEnded(long now, Transaction transaction, Attempt attempt, long durationTicks) {
        Endpoint endpoint = attempt.endpoint();
        silenceDetector.onAttemptEnded(now, endpoint);
        endpoint.onAttemptEnded(now, attempt);
        if (!attempt.outcome().isUninformative()) {
            updateEstimates(now, transaction, attempt, durationTicks);
        }
        loadShedder.onAttemptEnded(now, attempt, durationTicks);
    }

    private void updateEstimates(long now, Transaction transaction, Attempt attempt, long durationTicks) {
        Endpoint endpoint = attempt.endpoint();
        AttemptOutcome outcome = attempt.outcome();
        endpoint.calls().onAttemptEnded(now, transaction.profile(), attempt, durationTicks);
        if (outcome == AttemptOutcome.COMMITTED) {
            slowStartBudget.onCommitted(now, endpoint, transaction);
        }
        if (outcome == AttemptOutcome.COMMITTED || outcome == AttemptOutcome.TIMED_OUT) {
            dropRateGrader.onLatencySample(now);
            latency.onLatencySample(transaction.profile(), transaction.costHint(), durationTicks);
        }
        outlierEjection.onAttemptEnded(now, attempt, dropRateGrader.failureSpanTicks());
    }

    /**
     * Runs the periodic updates. Silence is measured first, because it determines the endpoints from which the wait is
     * estimated; drop rates are updated last.
     */
    void onTick(long now, TransactionTable transactions) {
        silenceDetector.measure(now, transactions.open(), loadShedder.recentTicksPerCommit(now));
        outlierEjection.ejectSilent(now, silenceDetector.endpointsWithAttempts());
        silenceDetector.countInFlight(now, loadShedder.isCongested());
        double elapsedPeriods = Math.min(MAX_ELAPSED_PERIODS, (double) Math.max(1, (now - lastTickAt) / TICK_INTERVAL));
        loadShedder.onTick(now, silenceDetector, elapsedPeriods);
        zoneAffinity.onTick(loadShedder.expectedWaitTicks(), loadShedder.minPermittedWaitTicks(), elapsedPeriods);
        lastTickAt = now;
        for (int steps = dropRateGrader.takeDueSteps(now); steps > 0; steps--) {
            dropRateGrader.step(now);
            latency.onGradingStep();
            fleet.onHealthChanged(now);
        }
    }

    /** The time of the latest tick, or of the start if there was none. */
    long lastTickAt() {
        return lastTickAt;
    }

    FleetSummary fleet() {
        return fleet;
    }

    LatencyEstimator latency() {
        return latency;
    }

    LoadShedder loadShedder() {
        return loadShedder;
    }

    SlowStartBudget slowStartBudget() {
        return slowStartBudget;
    }

    SilenceDetector silenceDetector() {
        return silenceDetector;
    }

    ZoneAffinity zoneAffinity() {
        return zoneAffinity;
    }
}
