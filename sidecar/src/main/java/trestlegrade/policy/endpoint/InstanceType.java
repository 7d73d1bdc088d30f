package trestlegrade.policy.endpoint;

/** What the endpoints of one instance type show together. */
public final class InstanceType {
    private double slownessSum;
    private double answers;
    private double largestWeight;

    /** Begins a new sum over its endpoints. */
    public void clearSums() {
        slownessSum = 0;
        answers = 0;
    }

    /** Adds what one endpoint showed. */
    public void add(double endpointSlownessSum, double endpointAnswers) {
        slownessSum += endpointSlownessSum;
        answers += endpointAnswers;
    }

    /** Sum of latencies relative to the expected ones, over {@link #answers} answers. */
    public double slownessSum() {
        return slownessSum;
    }

    /** Answers since {@link #clearSums}. */
    public double answers() {
        return answers;
    }

    /** The largest weight that the list ever gave one of them. */
    public double largestWeight() {
        return largestWeight;
    }

    void onListedWeight(double weight) {
        largestWeight = Math.max(largestWeight, weight);
    }
}
