package trestlegrade.policy.endpoint;

import java.util.Arrays;
import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * The call tracker of one endpoint: calls, failures and latencies of this sidecar's attempts there. Slowness is an
 * attempt's latency over the expected one. Times are ticks of 0.1 ms.
 */
public final class CallStatistics {
    /** The longest span over which sums can be asked for. */
    public static final long LONGEST_SPAN = 250_000;

    private static final int BUCKETS = 25;
    private static final double RECENT_SLOWNESS_STEP = 0.1;
    /** Two failures in a row make half, one does not: a few failures common to all endpoints condemn none. */
    private static final double PROFILE_FAILURE_STEP = 0.3;

    private static final double PROFILE_FAILURE_HALF_LIFE = 50_000;
    /** The client's own impatience ends an attempt too: only past this much of the expected time it is a failure. */
    private static final long FAILED_TIMEOUT_FACTOR = 2;

    private final SlidingWindowSum calls = new SlidingWindowSum(LONGEST_SPAN, BUCKETS);
    private final SlidingWindowSum failures = new SlidingWindowSum(LONGEST_SPAN, BUCKETS);
    private final SlidingWindowSum answers = new SlidingWindowSum(LONGEST_SPAN, BUCKETS);
    private final SlidingWindowSum slowness = new SlidingWindowSum(LONGEST_SPAN, BUCKETS);
    private final double[] profileFailureShare;
    private final long[] profileUpdatedAt;
    private double recentSlowness;
    private long lastAnswerAt;
    private int consecutiveFailures;

    CallStatistics(int profiles) {
        profileFailureShare = new double[profiles];
        profileUpdatedAt = new long[profiles];
    }

    /** Forgets what was measured before a restart. */
    void onRestart(long now) {
        recentSlowness = 1;
        consecutiveFailures = 0;
        lastAnswerAt = now;
        Arrays.fill(profileFailureShare, 0);
        calls.clear();
        failures.clear();
        answers.clear();
        slowness.clear();
    }

    /** An attempt is sent; the first after a pause begins the measurement of silence anew. */
    void onSent(long now, boolean firstInFlight) {
        if (firstInFlight) {
            lastAnswerAt = Math.max(lastAnswerAt, now);
        }
    }

    /** Counts an attempt that has ended by itself, with the time that it took. */
    public void onAttemptEnded(long now, int profile, Attempt attempt, long tookTicks) {
        AttemptOutcome outcome = attempt.outcome();
        boolean failed = outcome != AttemptOutcome.COMMITTED;
        boolean timedOut = outcome == AttemptOutcome.TIMED_OUT;
        calls.add(now, 1);
        updateProfile(now, profile, outcome);
        if (!timedOut) {
            lastAnswerAt = now;
        }
        if (failed && !(timedOut && tookTicks < FAILED_TIMEOUT_FACTOR * attempt.expectedTicks())) {
            failures.add(now, 1);
            consecutiveFailures++;
        }
        if (!failed) {
            consecutiveFailures = 0;
        }
        if (!failed || timedOut) {
            double relative = tookTicks / attempt.expectedTicks();
            answers.add(now, 1);
            slowness.add(now, relative);
            recentSlowness += RECENT_SLOWNESS_STEP * (relative - recentSlowness);
        }
    }

    /** Responses tell of their profile; all other outcomes tell of the endpoint as a whole. */
    private void updateProfile(long now, int profile, AttemptOutcome outcome) {
        boolean failed = outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.BROKEN;
        if (failed || outcome == AttemptOutcome.COMMITTED) {
            profileFailureShare[profile] = profileFailureShare(now, profile) * (1 - PROFILE_FAILURE_STEP)
                    + (failed ? PROFILE_FAILURE_STEP : 0);
            profileUpdatedAt[profile] = now;
        }
    }

    /** The share of a profile's attempts that fail here, 0 to 1; it halves while nothing is learnt. */
    public double profileFailureShare(long now, int profile) {
        return profileFailureShare[profile]
                * Math.pow(0.5, (now - profileUpdatedAt[profile]) / PROFILE_FAILURE_HALF_LIFE);
    }

    /** Attempts that ended within the latest span. */
    public double calls(long now, long span) {
        return calls.total(now, span);
    }

    /** Attempts that failed within the latest span. */
    public double failures(long now, long span) {
        return failures.total(now, span);
    }

    /** Attempts that committed or timed out within the latest span. */
    public double answers(long now, long span) {
        return answers.total(now, span);
    }

    /** The sum of slowness of these {@link #answers}. */
    public double slownessSum(long now, long span) {
        return slowness.total(now, span);
    }

    /** Moving average of slowness over about the latest ten answers. */
    public double recentSlowness() {
        return recentSlowness;
    }

    /** When the endpoint last showed a sign of life, or the first attempt after a pause was sent. */
    public long lastAnswerAt() {
        return lastAnswerAt;
    }

    /** Attempts that failed since the latest that committed. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** The endpoint has passed its probes: earlier failures are no reason to eject it again. */
    void clearFailures() {
        failures.clear();
    }
}
