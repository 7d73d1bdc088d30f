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
 * Passes on what attempts show, when they are sent, when they end and at each tick, to every decision that learns from
 * it, in the order in which one builds on the other. Times are ticks of 0.1 ms.
 */
final class AttemptMonitor {
    /** Every second tick of the coarsest system clock in use; half the slack usual for final answers. */
    static final long TICK_INTERVAL = 100;
    /** Ticks that are left out while nothing is open are made up for, up to so many. */
    private static final double MOST_PERIODS_MADE_UP = 20;

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

    /** An attempt is sent. */
    void onSent(long now, Transaction transaction, Attempt attempt) {
        Endpoint endpoint = attempt.endpoint();
        endpoint.onSent(now, latency.work(transaction.profile(), transaction.costHint()), attempt.isProbe());
        loadShedder.onSent(now);
        silenceDetector.onSent(now, endpoint);
    }

    /** An attempt has ended: what that tells of its endpoint, and of the wait. */
    void onAttemptEnded(long now, Transaction transaction, Attempt attempt, long tookTicks) {
        Endpoint endpoint = attempt.endpoint();
        silenceDetector.onAttemptEnded(now, endpoint);
        endpoint.onAttemptEnded(now, attempt);
        if (!attempt.outcome().isUninformative()) {
            learn(now, transaction, attempt, tookTicks);
        }
        loadShedder.onAttemptEnded(now, attempt, tookTicks);
    }

    private void learn(long now, Transaction transaction, Attempt attempt, long tookTicks) {
        Endpoint endpoint = attempt.endpoint();
        AttemptOutcome outcome = attempt.outcome();
        endpoint.calls().onAttemptEnded(now, transaction.profile(), attempt, tookTicks);
        if (outcome == AttemptOutcome.COMMITTED) {
            slowStartBudget.onCommitted(now, endpoint, transaction);
        }
        if (outcome == AttemptOutcome.COMMITTED || outcome == AttemptOutcome.TIMED_OUT) {
            dropRateGrader.onLatencySample(now);
            latency.onLatencySample(transaction.profile(), transaction.costHint(), tookTicks);
        }
        outlierEjection.onAttemptEnded(now, attempt, dropRateGrader.failureSpanTicks());
    }

    /** Silence first, since it tells which endpoints the wait is measured on; grades last. */
    void onTick(long now, TransactionTable transactions) {
        silenceDetector.measure(now, transactions.open(), loadShedder.recentTicksPerCommit(now));
        outlierEjection.ejectSilent(now, silenceDetector.endpointsWithAttempts());
        silenceDetector.countInFlight(now, loadShedder.isCongested());
        double periodsPassed = Math.min(MOST_PERIODS_MADE_UP, (double) Math.max(1, (now - lastTickAt) / TICK_INTERVAL));
        loadShedder.onTick(now, silenceDetector, periodsPassed);
        zoneAffinity.onTick(loadShedder.expectedWaitTicks(), loadShedder.minPermittedWaitTicks(), periodsPassed);
        lastTickAt = now;
        for (int steps = dropRateGrader.takeDueSteps(now); steps > 0; steps--) {
            dropRateGrader.step(now);
            latency.onGradingStep();
            fleet.onHealthChanged(now);
        }
    }

    /** When the latest tick was, or the start. */
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
