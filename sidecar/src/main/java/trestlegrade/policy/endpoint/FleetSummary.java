package trestlegrade.policy.endpoint;

import trestlegrade.policy.settings.PolicySettings;

/** Counts and sums over the endpoints in use, cached so that no decision has to iterate over all endpoints. */
public final class FleetSummary {
    private final EndpointTable endpoints;
    private final int localZone;
    private final int fleetSize;
    private int inUse;
    private int inUseInLocalZone;
    private double weightInUse;
    private double sidecarsPerEndpoint;
    private double warmWeight;
    private int ejected;
    private double meanReportedLoad;

    /** Creates an empty summary of the endpoints, which it only reads. */
    public FleetSummary(EndpointTable endpoints, PolicySettings settings) {
        this.endpoints = endpoints;
        localZone = settings.zone();
        fleetSize = settings.fleetSize();
    }

    /** Recounts after the subset of endpoints in use has changed. */
    public void onSubsetChanged() {
        inUse = 0;
        inUseInLocalZone = 0;
        weightInUse = 0;
        long ready = 0;
        for (Endpoint endpoint : endpoints.all()) {
            inUse += endpoint.isInUse() ? 1 : 0;
            inUseInLocalZone += endpoint.isInUse() && endpoint.zone() == localZone ? 1 : 0;
            weightInUse += endpoint.isInUse() ? endpoint.weight() : 0;
            ready += endpoint.isReady() ? 1 : 0;
        }
        sidecarsPerEndpoint = (double) fleetSize * inUse / Math.max(1, ready);
    }

    /** Recomputes what changes when endpoints warm up, are ejected or reinstated, or report their load. */
    public void onHealthChanged(long now) {
        warmWeight = 0;
        ejected = 0;
        double reported = 0;
        for (Endpoint endpoint : endpoints.all()) {
            warmWeight += endpoint.isInUse() && endpoint.isWarmAndNotEjected(now) ? endpoint.weight() : 0;
            ejected += endpoint.ejection().isEjected() ? 1 : 0;
            reported += endpoint.isInUse() ? endpoint.reportedLoad(now) : 0;
        }
        meanReportedLoad = reported / Math.max(1, inUse);
    }

    /** Returns the number of endpoints in use. */
    public int inUse() {
        return inUse;
    }

    /** Returns the number of endpoints in use in this sidecar's zone. */
    public int inUseInLocalZone() {
        return inUseInLocalZone;
    }

    /** Returns the total weight of the endpoints in use. */
    public double weightInUse() {
        return weightInUse;
    }

    /** Returns the total weight of the endpoints that are warm, not ejected and in use. */
    public double warmWeight() {
        return warmWeight;
    }

    /** Returns the number of ejected endpoints. */
    public int ejected() {
        return ejected;
    }

    /** Returns the mean reported load of the endpoints in use. */
    public double meanReportedLoad() {
        return meanReportedLoad;
    }

    /** Returns how many sidecars send to an endpoint on average. */
    public double sidecarsPerEndpoint() {
        return sidecarsPerEndpoint;
    }
}
