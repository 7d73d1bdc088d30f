package trestlegrade.policy.health;

import java.util.List;
import trestlegrade.policy.endpoint.CallStatistics;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * Ejects at once an endpoint that falls silent, takes no connections or fails in a row: the drop rate would take
 * seconds. An ejected endpoint gets half-open probes ({@link HalfOpenProbes}), and ordinary attempts only where no
 * other endpoint may take them; it is taken back after as many successes of either as its fault asks for.
 */
public final class OutlierEjection {
    /** Failures in a row, or within two fifths of the graded span, that eject. */
    private static final int FAILURES = 3;
    /** Of the calls within that span, the part that must have failed: far over any usual error rate. */
    public static final double FAILED_PART = 0.4;

    private static final int FAILED_CONNECTIONS = 2;
    private static final int SUCCESSES_AFTER_FAILURES = 3;
    private static final int SUCCESSES_AFTER_SILENCE = 1;
    /** No ejection may leave less than one in so many of the weight in use. */
    private static final int LEAST_WEIGHT_LEFT = 3;

    private final EndpointTable endpoints;
    private final FleetSummary fleet;

    /** Changes the ejection state of these endpoints, and has the summary follow. */
    public OutlierEjection(EndpointTable endpoints, FleetSummary fleet) {
        this.endpoints = endpoints;
        this.fleet = fleet;
    }

    /** Ejects those of these endpoints that have fallen silent. */
    public void ejectSilent(long now, List<Endpoint> observed) {
        for (Endpoint endpoint : observed) {
            if (!endpoint.ejection().isEjected() && SilenceDetector.isSilent(endpoint)) {
                eject(now, endpoint, SUCCESSES_AFTER_SILENCE);
            }
        }
    }

    /**
     * An attempt has ended by itself: ejects its endpoint, or takes it back.
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
        boolean unconnected = attempt.outcome() == AttemptOutcome.NO_CONNECTION;
        if (failed && (isUnreachable(endpoint, unconnected) || isFailing(now, endpoint.calls(), failureSpanTicks))) {
            eject(now, endpoint, unconnected ? SUCCESSES_AFTER_SILENCE : SUCCESSES_AFTER_FAILURES);
        }
    }

    private static boolean isUnreachable(Endpoint endpoint, boolean unconnected) {
        return unconnected && endpoint.calls().consecutiveFailures() >= FAILED_CONNECTIONS;
    }

    private static boolean isFailing(long now, CallStatistics calls, long failureSpanTicks) {
        if (calls.consecutiveFailures() >= FAILURES) {
            return true;
        }
        double failures = calls.failures(now, failureSpanTicks);
        return failures >= FAILURES && failures >= FAILED_PART * calls.calls(now, failureSpanTicks);
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

    private void eject(long now, Endpoint endpoint, int successesToReturn) {
        if (weightWithout(endpoint) < fleet.weightInUse() / LEAST_WEIGHT_LEFT) {
            return;
        }
        endpoint.ejection().eject(now, successesToReturn);
        fleet.onHealthChanged(now);
    }

    private double weightWithout(Endpoint endpoint) {
        double left = 0;
        for (Endpoint other : endpoints.all()) {
            left += other.isInUse() && !other.ejection().isEjected() && other != endpoint ? other.weight() : 0;
        }
        return left;
    }
}
