package trestlegrade.policy.endpoint;

import java.util.Arrays;
import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * The call tracker of one endpoint: the calls, failures and latencies of this sidecar's attempts at it. Slowness is the
 * ratio of an attempt's latency to its expected latency. Times are ticks of 0.1 ms.
 */
public final class CallStatistics {
    /** The maximum span over which sums are available. */
    public static final long MAX_SPAN_TICKS = 250_000;

    private static final int BUCKETS = 25;
    private static final double RECENT_SLOWNESS_WEIGHT = 0.1;
    /**
     * The weight of one outcome in the failure ratio of a profile. Two failures in a row raise the ratio to a half and
     * one does not, so that a few failures that are common to all endpoints exclude none of them.
     */
    private static final double PROFILE_FAILURE_WEIGHT = 0.3;

    private static final double PROFILE_FAILURE_HALF_LIFE_TICKS = 50_000;
    /**
     * A timed-out attempt counts as a failure only after this multiple of its expected duration, because attempts also
     * time out when the client sets a short deadline.
     */
    private static final long MIN_FAILED_TIMEOUT_FACTOR = 2;

    private final SlidingWindowSum calls = new SlidingWindowSum(MAX_SPAN_TICKS, BUCKETS);
    private final SlidingWindowSum failures = new SlidingWindowSum(MAX_SPAN_TICKS, BUCKETS);
    private final SlidingWindowSum latencySamples = new SlidingWindowSum(MAX_SPAN_TICKS, BUCKETS);
    private final SlidingWindowSum slownessSums = new SlidingWindowSum(MAX_SPAN_TICKS, BUCKETS);
    private final double[] profileFailureRatio;
    private final long[] profileUpdatedAt;
    private double recentSlowness;
    private long lastActivityAt;
    private int consecutiveFailures;

    CallStatistics(int profiles) {
        profileFailureRatio = new double[profiles];
        profileUpdatedAt = new long[profiles];
    }

    /** Discards what was measured before a restart. */
    void onRestart(long now) {
        recentSlowness = 1;
        consecutiveFailures = 0;
        lastActivityAt = now;
        Arrays.fill(profileFailureRatio, 0);
        calls.clear();
        failures.clear();
        latencySamples.clear();
        slownessSums.clear();
    }

    /** Called when an attempt is sent. The first attempt after an idle period restarts the measurement of silence. */
    void onSent(long now, boolean firstInFlight) {
        if (firstInFlight) {
            lastActivityAt = Math.max(lastActivityAt, now);
        }
    }

    /** Counts an attempt that was not ended by this sidecar, and its duration. */
    public void onAttemptEnded(long now, int profile, Attempt attempt, long durationTicks) {
        AttemptOutcome outcome = attempt.outcome();
        boolean failed = outcome != AttemptOutcome.COMMITTED;
        boolean timedOut = outcome == AttemptOutcome.TIMED_OUT;
        calls.add(now, 1);
        updateProfile(now, profile, outcome);
        if (!timedOut) {
            lastActivityAt = now;
        }
        if (failed && !(timedOut && durationTicks < MIN_FAILED_TIMEOUT_FACTOR * attempt.expectedTicks())) {
            failures.add(now, 1);
            consecutiveFailures++;
        }
        if (!failed) {
            consecutiveFailures = 0;
        }
        if (!failed || timedOut) {
            double slowness = durationTicks / attempt.expectedTicks();
            latencySamples.add(now, 1);
            slownessSums.add(now, slowness);
            recentSlowness += RECENT_SLOWNESS_WEIGHT * (slowness - recentSlowness);
        }
    }

    /**
     * Counts only commits, error responses and broken connections, because all other outcomes concern the endpoint as a
     * whole and not the profile.
     */
    private void updateProfile(long now, int profile, AttemptOutcome outcome) {
        boolean failed = outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.BROKEN;
        if (failed || outcome == AttemptOutcome.COMMITTED) {
            profileFailureRatio[profile] = profileFailureRatio(now, profile) * (1 - PROFILE_FAILURE_WEIGHT)
                    + (failed ? PROFILE_FAILURE_WEIGHT : 0);
            profileUpdatedAt[profile] = now;
        }
    }

    /**
     * Returns the fraction of a profile's attempts that fail at this endpoint, 0 to 1; it decays while there are no new
     * outcomes.
     */
    public double profileFailureRatio(long now, int profile) {
        if (profileFailureRatio[profile] == 0) {
            // Fast path: most endpoints have no failures, and every selection calls this.
            return 0;
        }
        return profileFailureRatio[profile]
                * Math.pow(0.5, (now - profileUpdatedAt[profile]) / PROFILE_FAILURE_HALF_LIFE_TICKS);
    }

    /** Returns the number of attempts that ended within the latest span. */
    public double calls(long now, long span) {
        return calls.total(now, span);
    }

    /** Returns the number of attempts that failed within the latest span. */
    public double failures(long now, long span) {
        return failures.total(now, span);
    }

    /** Returns the number of attempts that committed or timed out within the latest span. */
    public double latencySamples(long now, long span) {
        return latencySamples.total(now, span);
    }

    /** Returns the sum of the slowness of the {@link #latencySamples}. */
    public double slownessSum(long now, long span) {
        return slownessSums.total(now, span);
    }

    /** Returns the moving average of slowness over about the latest ten samples. */
    public double recentSlowness() {
        return recentSlowness;
    }

    /**
     * Returns when an attempt last ended other than by a timeout, or when the first attempt after an idle period was
     * sent.
     */
    public long lastActivityAt() {
        return lastActivityAt;
    }

    /** Returns the number of failed attempts since the latest commit. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Called when the endpoint has passed its probes, so that earlier failures do not eject it again. */
    void clearFailures() {
        failures.clear();
    }
}
