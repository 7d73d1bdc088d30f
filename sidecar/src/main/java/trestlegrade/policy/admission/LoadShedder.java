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
 * Sheds load when the expected wait exceeds the permitted part of the latency objective (call dropping in D2).
 * Estimates at each tick how long an attempt takes now, queueing included; each profile has a call drop rate, which
 * rises while that exceeds what the profile permits, and falls else. Profiles of more revenue permit more. Only
 * endpoints that are warm and not ejected count. Times are ticks of 0.1 ms.
 */
public final class LoadShedder {
    /** Of the mean latency objective, the wait that the profile of the least revenue permits. */
    private static final double LEAST_PERMITTED_PART = 0.2;
    /** How much more of the objective the profile of the most revenue permits. */
    private static final double REVENUE_PART = 0.2;
    /** The latency without queueing, and half as much again, is always permitted. */
    private static final double PERMITTED_OVER_LOWEST_MEAN = 1.5;
    /** Clients that retry can ask for many times the capacity; one in fifty still passes, to measure by. */
    private static final double LARGEST_REJECTED_PART = 0.98;
    /** Each tick: twice the permitted wait sheds everything after a fifth of a second, about an attempt's latency. */
    private static final double STEP = 0.05;
    /** Fewer commits than this tell a jam from chance no better than by a third. */
    private static final int FEWEST_COMMITS = 10;

    private static final long SPAN_TICKS = 10_000;
    private static final int MOST_SPANS = 5;
    private static final int BUCKETS = 50;
    private static final long NEVER = -1;

    private final LatencyEstimator latency;
    private final FairShare fairShare;
    private final SeededRandom random;
    private final SlidingWindow commits = new SlidingWindow(MOST_SPANS * SPAN_TICKS, BUCKETS);
    /** Attempts that waited and brought nothing: timed out or cancelled. */
    private final SlidingWindow fruitless = new SlidingWindow(MOST_SPANS * SPAN_TICKS, BUCKETS);

    private final double[] permittedPart;
    private final double[] callDropRate;
    private long firstSentAt = NEVER;
    private boolean jammed;
    private double expectedWait;
    private double waitOverObjective;

    /** Reads the estimates; draws from the random source once for each first attempt. */
    public LoadShedder(PolicySettings settings, LatencyEstimator latency, FairShare fairShare, SeededRandom random) {
        this.latency = latency;
        this.fairShare = fairShare;
        this.random = random;
        callDropRate = new double[settings.profiles().size()];
        permittedPart = permittedParts(settings);
    }

    private static double[] permittedParts(PolicySettings settings) {
        double mostRevenue = settings.profiles().stream()
                .mapToDouble(Profile::priorityWeight)
                .max()
                .orElse(1);
        return settings.profiles().stream()
                .mapToDouble(profile -> LEAST_PERMITTED_PART
                        + REVENUE_PART
                                * Math.max(
                                        settings.worstProfileWeight(),
                                        profile.priorityWeight() / Math.max(mostRevenue, 1e-9)))
                .toArray();
    }

    /** Whether this transaction, which has no attempt yet, is rejected; those over their quota go first. */
    public boolean sheds(long now, Transaction transaction) {
        double rate = callDropRate[transaction.profile()];
        double dropped = rate * (fairShare.isOverQuota(now, transaction) ? 1 + rate : 1);
        return random.next() < Math.min(LARGEST_REJECTED_PART, dropped);
    }

    /** An attempt is sent. */
    public void onSent(long now) {
        if (firstSentAt < 0) {
            firstSentAt = now;
        }
    }

    /** An attempt has ended. */
    public void onAttemptEnded(long now, Attempt attempt, long tookTicks) {
        if (!attempt.endpoint().isSteady(now)) {
            return;
        }
        double counted = attempt.cappedTicks(tookTicks);
        AttemptOutcome outcome = attempt.outcome();
        if (outcome == AttemptOutcome.COMMITTED) {
            commits.add(now, counted);
        } else if (outcome == AttemptOutcome.TIMED_OUT || outcome == AttemptOutcome.CANCELLED) {
            fruitless.add(now, counted);
        }
    }

    /**
     * Estimates the wait and moves the call drop rates.
     *
     * @param periodsPassed periods of 10 ms since the last call; those that were left out ease the rates, but never
     *     raise them
     */
    public void onTick(long now, InFlightSummary inFlight, double periodsPassed) {
        expectedWait = expectedWait(now, inFlight);
        waitOverObjective = expectedWait / latency.meanObjectiveTicks();
        for (int i = 0; i < callDropRate.length; i++) {
            double excess = expectedWait / permittedWait(permittedPart[i]) - 1;
            double step = STEP
                    * (expectedWait > permittedWait(permittedPart[i])
                            ? Math.min(1, excess)
                            : periodsPassed * Math.max(-1, excess));
            callDropRate[i] = Math.max(0, Math.min(1, callDropRate[i] + step));
        }
    }

    private double expectedWait(long now, InFlightSummary inFlight) {
        // The latest second, or as many seconds as it takes to see enough commits.
        long span = SPAN_TICKS;
        while (span < MOST_SPANS * SPAN_TICKS && commits.count(now, span) < FEWEST_COMMITS) {
            span += SPAN_TICKS;
        }
        double committed = commits.count(now, span);
        // While twice as many commit, fruitless attempts tell of silent endpoints, not of a wait.
        jammed = fruitless.count(now, span) + inFlight.suspect() > committed / 2;
        double waited = waited(now, span);
        double ages = inFlight.ageSumTicks();
        if (committed < FEWEST_COMMITS) {
            // As many more at the best mean latency as would be enough on their own: with the usual latency a jam in
            // which most is shed, and little is learnt, would never be seen to end.
            double padding = FEWEST_COMMITS
                    * Math.min(latency.lowestMeanTicks(), latency.meanObjectiveTicks() * LEAST_PERMITTED_PART);
            return (waited + ages + padding) / (committed + FEWEST_COMMITS);
        }
        // A sidecar that has just started has not yet seen a whole span.
        double rate = committed / Math.max(1, Math.min(span, now - firstSentAt));
        int attempts = inFlight.steady() - (jammed ? 0 : inFlight.suspect());
        // Little's law; few attempts make it jump, so ages and latencies temper it.
        return Math.min(attempts / rate, Math.max(ages / Math.max(1, attempts), waited / committed));
    }

    /** Fruitless attempts waited too: without them a jam in which most time out looks like none. */
    private double waited(long now, long span) {
        return commits.sum(now, span) + (jammed ? fruitless.sum(now, span) : 0);
    }

    private double permittedWait(double partOfObjective) {
        return Math.max(
                latency.meanObjectiveTicks() * partOfObjective, PERMITTED_OVER_LOWEST_MEAN * latency.lowestMeanTicks());
    }

    /** The wait that every profile permits. */
    public double minPermittedWaitTicks() {
        return permittedWait(LEAST_PERMITTED_PART);
    }

    /** How long an attempt is expected to take now, as of the latest tick. */
    public double expectedWaitTicks() {
        return expectedWait;
    }

    /** {@link #expectedWaitTicks} as a part of the mean latency objective. */
    public double waitOverObjective() {
        return waitOverObjective;
    }

    /**
     * Time of attempts that ended in the latest second, for each commit; each counts for three times its expected time
     * at most. In a jam that of fruitless ones is added, so it is over their mean.
     */
    public double recentTicksPerCommit(long now) {
        return waited(now, SPAN_TICKS) / Math.max(1, commits.count(now, SPAN_TICKS));
    }

    /** Whether fruitless and suspect attempts together exceed half the commits, as of the latest periodic call. */
    public boolean isCongested() {
        return jammed;
    }
}
