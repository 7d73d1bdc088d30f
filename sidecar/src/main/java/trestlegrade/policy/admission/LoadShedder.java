package trestlegrade.policy.admission;

import trestlegrade.policy.estimate.LatencyEstimator;
import trestlegrade.policy.estimate.SlidingWindow;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;
import trestlegrade.policy.settings.PolicySettings.Profile;

/**
 * Sheds load while the expected wait exceeds the permitted fraction of the latency objective. This corresponds to call
 * dropping in D2, the load balancer of Rest.li. At each tick it estimates how long an attempt takes now, queueing
 * included. Each profile has a call drop rate, which rises while the estimate exceeds the wait that the profile permits
 * and falls otherwise. Profiles with more revenue permit a longer wait. Only endpoints that are warm and not ejected
 * count. Times are ticks of 0.1 ms.
 */
public final class LoadShedder {
    /** The lower limit of the permitted wait of any profile, as a fraction of the mean latency objective. */
    private static final double MIN_PERMITTED_FRACTION = 0.2;
    /** How much larger the permitted fraction is for the profile with the most revenue. */
    private static final double REVENUE_FRACTION = 0.2;
    /** A wait of up to this multiple of the latency without queueing is always permitted. */
    private static final double PERMITTED_MULTIPLE_OF_MIN_LATENCY = 1.5;
    /**
     * Clients that retry can send many times the capacity. One in fifty requests is still admitted, because the wait is
     * measured on admitted requests.
     */
    private static final double MAX_REJECTED_FRACTION = 0.98;
    /**
     * Maximum change of a call drop rate per tick. At twice the permitted wait everything is shed after 0.2 s, which is
     * about the latency of one attempt.
     */
    private static final double STEP = 0.05;
    /**
     * With fewer commits, random variation alone changes the estimate by a third or more, which cannot be distinguished
     * from congestion.
     */
    private static final int MIN_COMMITS = 10;

    private static final long SPAN_TICKS = 10_000;
    private static final int MAX_SPANS = 5;
    private static final int BUCKETS = 50;
    private static final long NEVER = -1;

    private final LatencyEstimator latency;
    private final FairShare fairShare;
    private final SeededRandom random;
    private final SlidingWindow commits = new SlidingWindow(MAX_SPANS * SPAN_TICKS, BUCKETS);
    /** Attempts that timed out or were cancelled. */
    private final SlidingWindow unsuccessful = new SlidingWindow(MAX_SPANS * SPAN_TICKS, BUCKETS);

    private final double[] permittedFraction;
    private final double[] callDropRate;
    private long firstSentAt = NEVER;
    private boolean congested;
    private double expectedWait;
    private double waitObjectiveRatio;

    /** Creates a load shedder; {@link #sheds} draws one random number per call. */
    public LoadShedder(PolicySettings settings, LatencyEstimator latency, FairShare fairShare, SeededRandom random) {
        this.latency = latency;
        this.fairShare = fairShare;
        this.random = random;
        callDropRate = new double[settings.profiles().size()];
        permittedFraction = permittedFractions(settings);
    }

    private static double[] permittedFractions(PolicySettings settings) {
        double maxRevenue = settings.profiles().stream()
                .mapToDouble(Profile::priorityWeight)
                .max()
                .orElse(1);
        return settings.profiles().stream()
                .mapToDouble(profile -> MIN_PERMITTED_FRACTION
                        + REVENUE_FRACTION
                                * Math.max(
                                        settings.worstProfileWeight(),
                                        profile.priorityWeight() / Math.max(maxRevenue, 1e-9)))
                .toArray();
    }

    /**
     * Returns whether to reject this transaction, which has no attempt yet. Customers over their quota are rejected
     * with a higher probability.
     */
    public boolean sheds(long now, Transaction transaction) {
        double rate = callDropRate[transaction.profile()];
        double probability = rate * (fairShare.isOverQuota(now, transaction) ? 1 + rate : 1);
        return random.next() < Math.min(MAX_REJECTED_FRACTION, probability);
    }

    /** Called when an attempt is sent. */
    public void onSent(long now) {
        if (firstSentAt < 0) {
            firstSentAt = now;
        }
    }

    /** Called when an attempt has ended. */
    public void onAttemptEnded(long now, Attempt attempt, long durationTicks) {
        if (!attempt.endpoint().isWarmAndNotEjected(now)) {
            return;
        }
        double counted = attempt.cappedTicks(durationTicks);
        AttemptOutcome outcome = attempt.outcome();
        if (outcome == AttemptOutcome.COMMITTED) {
            commits.add(now, counted);
        } else if (outcome == AttemptOutcome.TIMED_OUT || outcome == AttemptOutcome.CANCELLED) {
            unsuccessful.add(now, counted);
        }
    }

    /**
     * Estimates the wait and adjusts the call drop rates.
     *
     * @param elapsedPeriods periods of 10 ms since the last call; skipped periods lower the rates but never raise them
     */
    public void onTick(long now, InFlightSummary inFlight, double elapsedPeriods) {
        expectedWait = expectedWait(now, inFlight);
        waitObjectiveRatio = expectedWait / latency.meanLatencyObjectiveTicks();
        for (int i = 0; i < callDropRate.length; i++) {
            double excess = expectedWait / permittedWait(permittedFraction[i]) - 1;
            double step = STEP
                    * (expectedWait > permittedWait(permittedFraction[i])
                            ? Math.min(1, excess)
                            : elapsedPeriods * Math.max(-1, excess));
            callDropRate[i] = Math.max(0, Math.min(1, callDropRate[i] + step));
        }
    }

    private double expectedWait(long now, InFlightSummary inFlight) {
        // The window is the latest second, extended by whole seconds until it contains enough commits.
        long span = SPAN_TICKS;
        while (span < MAX_SPANS * SPAN_TICKS && commits.count(now, span) < MIN_COMMITS) {
            span += SPAN_TICKS;
        }
        double committed = commits.count(now, span);
        // While at least twice as many attempts commit, unsuccessful attempts indicate silent endpoints rather than a
        // long wait.
        congested = unsuccessful.count(now, span) + inFlight.suspectAttempts() > committed / 2;
        double durationSum = durationSum(now, span);
        double ages = inFlight.ageSumTicks();
        if (committed < MIN_COMMITS) {
            // With few commits, MIN_COMMITS attempts at the lowest mean latency are added. With the usual latency
            // instead, the end of congestion would never be detected while most requests are shed, because few samples
            // arrive.
            double padding = MIN_COMMITS
                    * Math.min(
                            latency.minMeanLatencyTicks(),
                            latency.meanLatencyObjectiveTicks() * MIN_PERMITTED_FRACTION);
            return (durationSum + ages + padding) / (committed + MIN_COMMITS);
        }
        // A sidecar that has just started has not observed a whole span yet.
        double rate = committed / Math.max(1, Math.min(span, now - firstSentAt));
        int attempts = inFlight.attemptsInFlight() - (congested ? 0 : inFlight.suspectAttempts());
        // Little's law. With few attempts its result fluctuates, so the larger of mean age and mean duration limits it.
        return Math.min(attempts / rate, Math.max(ages / Math.max(1, attempts), durationSum / committed));
    }

    /**
     * Includes unsuccessful attempts during congestion; otherwise congestion in which most attempts time out would not
     * be detected.
     */
    private double durationSum(long now, long span) {
        return commits.sum(now, span) + (congested ? unsuccessful.sum(now, span) : 0);
    }

    private double permittedWait(double fractionOfObjective) {
        return Math.max(
                latency.meanLatencyObjectiveTicks() * fractionOfObjective,
                PERMITTED_MULTIPLE_OF_MIN_LATENCY * latency.minMeanLatencyTicks());
    }

    /** Returns the wait that every profile permits. */
    public double minPermittedWaitTicks() {
        return permittedWait(MIN_PERMITTED_FRACTION);
    }

    /** Returns how long an attempt is expected to take now, as of the latest tick. */
    public double expectedWaitTicks() {
        return expectedWait;
    }

    /** Returns the ratio of {@link #expectedWaitTicks} to the mean latency objective. */
    public double waitObjectiveRatio() {
        return waitObjectiveRatio;
    }

    /**
     * Returns the total duration of the attempts that ended in the latest second, divided by the number of commits.
     * Each attempt counts for at most three times its expected duration. During congestion unsuccessful attempts are
     * included, so the result exceeds the mean duration.
     */
    public double recentTicksPerCommit(long now) {
        return durationSum(now, SPAN_TICKS) / Math.max(1, commits.count(now, SPAN_TICKS));
    }

    /** Returns whether unsuccessful and suspect attempts together exceed half the commits, as of the latest tick. */
    public boolean isCongested() {
        return congested;
    }
}
