package trestlegrade.policy.endpoint;

/** Measurements over all endpoints of one instance type. */
public final class InstanceType {
    private double slownessSum;
    private double latencySamples;
    private double maxWeight;

    /** Resets the sums over the endpoints. */
    public void clearSums() {
        slownessSum = 0;
        latencySamples = 0;
    }

    /** Adds the latency samples of one endpoint. */
    public void add(double endpointSlownessSum, double endpointSamples) {
        slownessSum += endpointSlownessSum;
        latencySamples += endpointSamples;
    }

    /** Returns the sum of the slowness of the {@link #latencySamples}. */
    public double slownessSum() {
        return slownessSum;
    }

    /** Returns the number of latency samples since {@link #clearSums}. */
    public double latencySamples() {
        return latencySamples;
    }

    /** Returns the maximum weight that the list ever gave an endpoint of this type. */
    public double maxWeight() {
        return maxWeight;
    }

    void onListedWeight(double weight) {
        maxWeight = Math.max(maxWeight, weight);
    }
}
