package trestlegrade.policy.health;

import java.util.ArrayList;
import java.util.List;
import trestlegrade.policy.admission.InFlightSummary;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.SilenceState;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.Transaction;

/**
 * Detects endpoints that have fallen silent, at each tick, from the attempts in flight to them: each adds the time
 * since the endpoint's last answer over the time that an attempt usually takes. With exponential latencies a healthy
 * endpoint exceeds a suspicion of x once in e^x ticks (an accrual failure detector).
 */
public final class SilenceDetector implements InFlightSummary {
    /** From this on, one tick in twenty at a healthy endpoint, no non-idempotent transaction is sent there. */
    private static final double SUSPECT = 3;
    /** From this on, one tick in about eight thousand at a healthy endpoint, it is ejected. */
    private static final double SILENT = 9;

    /** Endpoints with attempts in flight at the latest tick. */
    private final List<Endpoint> observed = new ArrayList<>();

    private int steady;
    private int suspect;
    private double ageSumTicks;

    /** Whether the endpoint may have fallen silent. */
    public static boolean isSuspect(Endpoint endpoint) {
        return endpoint.silence().suspicion() > SUSPECT;
    }

    /** Whether the endpoint has fallen silent. */
    public static boolean isSilent(Endpoint endpoint) {
        return endpoint.silence().suspicion() > SILENT;
    }

    /**
     * Measures the silence of each endpoint.
     *
     * @param recentTicksPerCommit how long attempts took in the latest second: what was usual when an attempt was sent
     *     says little once all have become slow
     */
    public void measure(long now, List<Transaction> open, double recentTicksPerCommit) {
        observed.forEach(endpoint -> endpoint.silence().clear());
        observed.clear();
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
            observed.add(endpoint);
        }
        long silentTicks = now - Math.max(attempt.sentAt(), endpoint.calls().lastAnswerAt());
        double usualTicks =
                attempt.expectedTicks() * Math.max(1, endpoint.calls().recentSlowness());
        double age = attempt.cappedTicks(now - attempt.sentAt());
        silence.add(silentTicks / Math.max(usualTicks, recentTicksPerCommit), (long) age);
    }

    /** Counts what is in flight; in a jam the wait at suspect endpoints counts too. */
    public void countInFlight(long now, boolean jammed) {
        steady = 0;
        suspect = 0;
        ageSumTicks = 0;
        for (Endpoint endpoint : observed) {
            if (endpoint.isSteady(now)) {
                SilenceState silence = endpoint.silence();
                steady += silence.attempts();
                suspect += isSuspect(endpoint) ? silence.attempts() : 0;
                ageSumTicks += jammed || !isSuspect(endpoint) ? silence.ageSumTicks() : 0;
            }
        }
    }

    /** An attempt is sent. */
    public void onSent(long now, Endpoint endpoint) {
        steady += endpoint.isSteady(now) ? 1 : 0;
    }

    /** An attempt has ended. */
    public void onAttemptEnded(long now, Endpoint endpoint) {
        steady = Math.max(0, steady - (endpoint.isSteady(now) ? 1 : 0));
    }

    /** Endpoints with attempts in flight at the latest tick. */
    public List<Endpoint> endpointsWithAttempts() {
        return observed;
    }

    @Override
    public int steady() {
        return steady;
    }

    @Override
    public int suspect() {
        return suspect;
    }

    @Override
    public double ageSumTicks() {
        return ageSumTicks;
    }
}
