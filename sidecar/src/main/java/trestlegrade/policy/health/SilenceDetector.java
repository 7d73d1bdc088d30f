package trestlegrade.policy.health;

import java.util.ArrayList;
import java.util.List;
import trestlegrade.policy.admission.InFlightSummary;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.SilenceState;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.Transaction;

/**
 * Detects silent endpoints, which are endpoints that have stopped responding. This is an accrual failure detector: at
 * each tick, every attempt in flight adds to the suspicion of its endpoint the time since the endpoint's last response,
 * divided by the usual duration of an attempt. With exponentially distributed latencies, a healthy endpoint exceeds a
 * suspicion of x in one of e^x ticks.
 */
public final class SilenceDetector implements InFlightSummary {
    /**
     * Above this the endpoint is suspect, and a non-idempotent transaction is sent to it only if no healthy endpoint is
     * found. A healthy endpoint exceeds it in one of twenty ticks.
     */
    private static final double SUSPECT_THRESHOLD = 3;
    /** Above this the endpoint is ejected. A healthy endpoint exceeds it in about one of eight thousand ticks. */
    private static final double SILENT_THRESHOLD = 9;

    /** Endpoints with attempts in flight at the latest tick. */
    private final List<Endpoint> endpointsWithAttempts = new ArrayList<>();

    private int attemptsInFlight;
    private int suspectAttempts;
    private double ageSumTicks;

    /** Returns whether the endpoint may be silent. */
    public static boolean isSuspect(Endpoint endpoint) {
        return endpoint.silence().suspicion() > SUSPECT_THRESHOLD;
    }

    /** Returns whether the endpoint is silent. */
    public static boolean isSilent(Endpoint endpoint) {
        return endpoint.silence().suspicion() > SILENT_THRESHOLD;
    }

    /**
     * Measures the silence of each endpoint.
     *
     * @param recentTicksPerCommit total duration of the attempts that ended in the latest second, divided by the number
     *     of commits; the expected duration at the time of sending is too short once all endpoints have become slow
     */
    public void measure(long now, List<Transaction> open, double recentTicksPerCommit) {
        endpointsWithAttempts.forEach(endpoint -> endpoint.silence().clear());
        endpointsWithAttempts.clear();
        for (Transaction transaction : open) {
            if (transaction.attemptsInFlight() > 0 && !transaction.isStreaming()) {
                measure(now, transaction.lastAttempt(), recentTicksPerCommit);
            }
        }
    }

    private void measure(long now, Attempt attempt, double recentTicksPerCommit) {
        Endpoint endpoint = attempt.endpoint();
        SilenceState silence = endpoint.silence();
        if (silence.attempts() == 0) {
            endpointsWithAttempts.add(endpoint);
        }
        long ticksWithoutResponse =
                now - Math.max(attempt.sentAt(), endpoint.calls().lastActivityAt());
        double usualTicks =
                attempt.expectedTicks() * Math.max(1, endpoint.calls().recentSlowness());
        double age = attempt.cappedTicks(now - attempt.sentAt());
        silence.add(ticksWithoutResponse / Math.max(usualTicks, recentTicksPerCommit), (long) age);
    }

    /** Counts the attempts in flight. During congestion the ages of attempts at suspect endpoints are included. */
    public void countInFlight(long now, boolean congested) {
        attemptsInFlight = 0;
        suspectAttempts = 0;
        ageSumTicks = 0;
        for (Endpoint endpoint : endpointsWithAttempts) {
            if (endpoint.isWarmAndNotEjected(now)) {
                SilenceState silence = endpoint.silence();
                attemptsInFlight += silence.attempts();
                suspectAttempts += isSuspect(endpoint) ? silence.attempts() : 0;
                ageSumTicks += congested || !isSuspect(endpoint) ? silence.ageSumTicks() : 0;
            }
        }
    }

    /** Called when an attempt is sent. */
    public void onSent(long now, Endpoint endpoint) {
        attemptsInFlight += endpoint.isWarmAndNotEjected(now) ? 1 : 0;
    }

    /** Called when an attempt has ended. */
    public void onAttemptEnded(long now, Endpoint endpoint) {
        attemptsInFlight = Math.max(0, attemptsInFlight - (endpoint.isWarmAndNotEjected(now) ? 1 : 0));
    }

    /** Returns the endpoints with attempts in flight at the latest tick. */
    public List<Endpoint> endpointsWithAttempts() {
        return endpointsWithAttempts;
    }

    @Override
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    @Override
    public int suspectAttempts() {
        return suspectAttempts;
    }

    @Override
    public double ageSumTicks() {
        return ageSumTicks;
    }
}
