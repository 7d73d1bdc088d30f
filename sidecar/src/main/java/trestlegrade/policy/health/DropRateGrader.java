package trestlegrade.policy.health;

import java.util.Arrays;
import trestlegrade.policy.endpoint.CallStatistics;
import trestlegrade.policy.endpoint.DropRate;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.endpoint.InstanceType;
import trestlegrade.policy.estimate.SlidingWindowSum;

/**
 * The design (D2's degrader): grades each endpoint by its latency against the others' and by its failures (over a tenth
 * of its calls), and moves its drop rate, which shrinks its points on the ring. The step is 0.05 a second: the design's
 * largest, 0.25 in 5 s, in five parts. An endpoint with few answers is graded partly by what its instance type shows,
 * since a sidecar with little traffic never sees enough of one endpoint. Times are ticks of 0.1 ms.
 */
public final class DropRateGrader {
    private static final long STEP_INTERVAL_TICKS = 10_000;
    /** After idle time all steps left out are made up for; twenty take any drop rate from 1 to 0. */
    private static final int MOST_STEPS = 20;

    private static final double STEP = 0.05;
    /** Of the median slowness, what is slow. */
    private static final double SLOW = 1.3;
    /** Of an endpoint's calls, the part that must not fail. */
    private static final double FAILING = 0.1;
    /** The design's least number of calls. */
    private static final int FEWEST_CALLS = 5;
    /** The design's interval, where that brings enough answers from each endpoint; else a multiple of it. */
    private static final long SPAN_TICKS = 50_000;

    private static final int ANSWER_BUCKETS = 25;

    private final EndpointTable endpoints;
    private final FleetSummary fleet;
    private final SlidingWindowSum answers = new SlidingWindowSum(CallStatistics.LONGEST_SPAN, ANSWER_BUCKETS);
    private long nextStepAt;
    private long span = SPAN_TICKS;

    /** Changes the drop rates of these endpoints; reads the summary. */
    public DropRateGrader(EndpointTable endpoints, FleetSummary fleet) {
        this.endpoints = endpoints;
        this.fleet = fleet;
    }

    /** Begins; the first step is due an interval later. */
    public void start(long now) {
        nextStepAt = now + STEP_INTERVAL_TICKS;
    }

    /** Any endpoint has answered, or let an attempt time out. */
    public void onLatencySample(long now) {
        answers.add(now, 1);
    }

    /** How many steps are due; they are taken off the schedule. */
    public int takeDueSteps(long now) {
        nextStepAt = Math.max(nextStepAt, now - MOST_STEPS * STEP_INTERVAL_TICKS);
        int due = 0;
        for (; now >= nextStepAt; nextStepAt += STEP_INTERVAL_TICKS) {
            due++;
        }
        return due;
    }

    /** Moves each endpoint's drop rate by one step. */
    public void step(long now) {
        span = SPAN_TICKS;
        while (span < CallStatistics.LONGEST_SPAN && answers.total(now, span) < FEWEST_CALLS * fleet.inUse()) {
            span += SPAN_TICKS;
        }
        double fleetMean = collect(now);
        double median = medianSlowness(fleetMean);
        for (Endpoint endpoint : endpoints.all()) {
            double calls = endpoint.calls().calls(now, span);
            boolean slow = endpoint.dropRate().meanSlowness() > SLOW * median;
            boolean failing = calls >= FEWEST_CALLS && endpoint.calls().failures(now, span) > FAILING * calls;
            endpoint.dropRate().move(slow || failing ? STEP : -STEP);
        }
    }

    /** Collects what endpoints and instance types showed; returns the mean slowness of all in use. */
    private double collect(long now) {
        endpoints.types().forEach(InstanceType::clearSums);
        double slownessSum = 0;
        double answerCount = 0;
        for (Endpoint endpoint : endpoints.all()) {
            DropRate grade = endpoint.dropRate();
            grade.collect(endpoint.calls().answers(now, span), endpoint.calls().slownessSum(now, span));
            if (endpoint.isInUse()) {
                endpoint.type().add(grade.slownessSum(), grade.answers());
                slownessSum += grade.slownessSum();
                answerCount += grade.answers();
            }
        }
        return answerCount == 0 ? 1 : slownessSum / answerCount;
    }

    /** Blends each endpoint's slowness with its type's, and that with the fleet's; returns the median. */
    private double medianSlowness(double fleetMean) {
        double[] means = new double[fleet.inUse()];
        int count = 0;
        for (Endpoint endpoint : endpoints.all()) {
            DropRate grade = endpoint.dropRate();
            InstanceType type = endpoint.type();
            double typeMean = (type.slownessSum() + FEWEST_CALLS * fleetMean) / (type.answers() + FEWEST_CALLS);
            grade.setMeanSlowness((grade.slownessSum() + FEWEST_CALLS * typeMean) / (grade.answers() + FEWEST_CALLS));
            if (endpoint.isInUse() && count < means.length) {
                means[count++] = grade.meanSlowness();
            }
        }
        Arrays.sort(means, 0, count);
        return count == 0 ? 1 : (means[(count - 1) / 2] + means[count / 2]) / 2;
    }

    /** Two fifths of the graded span, which is 2 s with enough traffic: within it failures count together. */
    public long failureSpanTicks() {
        return span * 2 / 5;
    }
}
