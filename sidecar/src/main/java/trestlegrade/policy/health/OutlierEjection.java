package trestlegrade.policy.health;

import java.util.List;
import trestlegrade.policy.endpoint.CallStatistics;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * Ejects an endpoint at once if it falls silent, accepts no connections or fails repeatedly, because the drop rate
 * would take seconds to react. An ejected endpoint receives half-open probes ({@link HalfOpenProbes}), and ordinary
 * attempts only if no other endpoint may take them. It is reinstated after a number of successes of either kind that
 * depends on the reason for the ejection.
 */
public final class OutlierEjection {
    /** The number of failures that ejects an endpoint, consecutive or within two fifths of the graded span. */
    private static final int MIN_FAILURES = 3;
    /**
     * The minimum fraction of the calls within two fifths of the graded span that must have failed. It is far above any
     * usual error rate.
     */
    public static final double HIGH_FAILURE_RATIO = 0.4;

    private static final int MIN_FAILED_CONNECTIONS = 2;
    private static final int SUCCESSES_AFTER_FAILURES = 3;
    private static final int SUCCESSES_AFTER_SILENCE = 1;
    /** An ejection must leave at least the weight in use divided by this. */
    private static final int MIN_REMAINING_WEIGHT_DIVISOR = 3;

    private final EndpointTable endpoints;
    private final FleetSummary fleet;

    /** Creates an ejection policy that changes the state of these endpoints and updates the summary. */
    public OutlierEjection(EndpointTable endpoints, FleetSummary fleet) {
        this.endpoints = endpoints;
        this.fleet = fleet;
    }

    /** Ejects those of the given endpoints that are silent. */
    public void ejectSilent(long now, List<Endpoint> candidates) {
        for (Endpoint endpoint : candidates) {
            if (!endpoint.ejection().isEjected() && SilenceDetector.isSilent(endpoint)) {
                eject(now, endpoint, SUCCESSES_AFTER_SILENCE);
            }
        }
    }

    /**
     * Called when an attempt has ended that this sidecar did not end itself; may eject or reinstate the endpoint.
     *
     * @param failureSpanTicks the span within which failures count together
     */
    public void onAttemptEnded(long now, Attempt attempt, long failureSpanTicks) {
        Endpoint endpoint = attempt.endpoint();
        boolean failed = attempt.outcome() != AttemptOutcome.COMMITTED;
        if (endpoint.ejection().isEjected()) {
            onEndedWhileEjected(now, attempt, failed);
            return;
        }
        boolean connectionFailed = attempt.outcome() == AttemptOutcome.NO_CONNECTION;
        if (failed
                && (isUnreachable(endpoint, connectionFailed) || isFailing(now, endpoint.calls(), failureSpanTicks))) {
            eject(now, endpoint, connectionFailed ? SUCCESSES_AFTER_SILENCE : SUCCESSES_AFTER_FAILURES);
        }
    }

    private static boolean isUnreachable(Endpoint endpoint, boolean connectionFailed) {
        return connectionFailed && endpoint.calls().consecutiveFailures() >= MIN_FAILED_CONNECTIONS;
    }

    private static boolean isFailing(long now, CallStatistics calls, long failureSpanTicks) {
        if (calls.consecutiveFailures() >= MIN_FAILURES) {
            return true;
        }
        double failures = calls.failures(now, failureSpanTicks);
        return failures >= MIN_FAILURES && failures >= HIGH_FAILURE_RATIO * calls.calls(now, failureSpanTicks);
    }

    private void onEndedWhileEjected(long now, Attempt attempt, boolean failed) {
        Endpoint endpoint = attempt.endpoint();
        if (!failed) {
            if (endpoint.onSuccessWhileEjected(now)) {
                fleet.onHealthChanged(now);
            }
        } else if (attempt.isProbe()) {
            endpoint.ejection().onProbeFailed(now);
        }
    }

    private void eject(long now, Endpoint endpoint, int requiredSuccesses) {
        if (remainingWeightWithout(endpoint) < fleet.weightInUse() / MIN_REMAINING_WEIGHT_DIVISOR) {
            return;
        }
        endpoint.ejection().eject(now, requiredSuccesses);
        fleet.onHealthChanged(now);
    }

    private double remainingWeightWithout(Endpoint endpoint) {
        double remaining = 0;
        for (Endpoint other : endpoints.all()) {
            remaining += other.isInUse() && !other.ejection().isEjected() && other != endpoint ? other.weight() : 0;
        }
        return remaining;
    }
}
