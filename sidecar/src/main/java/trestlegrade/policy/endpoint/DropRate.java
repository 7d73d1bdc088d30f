package trestlegrade.policy.endpoint;

/** The drop rate of one endpoint, and the measurements by which the endpoint was last graded. */
public final class DropRate {
    private double value;
    private double latencySamples;
    private double slownessSum;
    private double meanSlowness = 1;

    void onRestart(double initial) {
        value = initial;
    }

    /** Sets the latency samples of the graded span. */
    public void setSamples(double sampleCount, double newSlownessSum) {
        latencySamples = sampleCount;
        slownessSum = newSlownessSum;
    }

    /** Sets the mean slowness by which the endpoint is compared with others. */
    public void setMeanSlowness(double mean) {
        meanSlowness = mean;
    }

    /** Changes the drop rate by the step, within the limits of 0 and 1. */
    public void adjust(double step) {
        value = Math.max(0, Math.min(1, value + step));
    }

    /** Returns the fraction of its ring points that the endpoint has lost, 0 to 1. */
    public double value() {
        return value;
    }

    /** Returns the number of latency samples in the graded span. */
    public double latencySamples() {
        return latencySamples;
    }

    /** Returns the sum of the slowness of the {@link #latencySamples}. */
    public double slownessSum() {
        return slownessSum;
    }

    /** Returns the mean slowness, blended with that of the instance type; 1 is the expected latency. */
    public double meanSlowness() {
        return meanSlowness;
    }
}
