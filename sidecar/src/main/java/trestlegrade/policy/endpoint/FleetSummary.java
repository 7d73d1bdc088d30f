package trestlegrade.policy.endpoint;

import trestlegrade.policy.settings.PolicySettings;

/** Counts and sums over the endpoints in use, kept so that no decision has to walk all endpoints. */
public final class FleetSummary {
    private final EndpointTable endpoints;
    private final int localZone;
    private final int sidecars;
    private int inUse;
    private int inUseLocally;
    private double weightInUse;
    private double sidecarsPerEndpoint;
    private double steadyWeight;
    private int ejected;
    private double meanReportedLoad;

    /** Begins with nothing counted; changes no endpoint. */
    public FleetSummary(EndpointTable endpoints, PolicySettings settings) {
        this.endpoints = endpoints;
        localZone = settings.zone();
        sidecars = settings.fleetSize();
    }

    /** Counts again after the endpoints in use have changed. */
    public void onSubsetChanged() {
        inUse = 0;
        inUseLocally = 0;
        weightInUse = 0;
        long ready = 0;
        for (Endpoint endpoint : endpoints.all()) {
            inUse += endpoint.isInUse() ? 1 : 0;
            inUseLocally += endpoint.isInUse() && endpoint.zone() == localZone ? 1 : 0;
            weightInUse += endpoint.isInUse() ? endpoint.weight() : 0;
            ready += endpoint.isReady() ? 1 : 0;
        }
        sidecarsPerEndpoint = (double) sidecars * inUse / Math.max(1, ready);
    }

    /** Adds up again what changes as endpoints warm up, are ejected and taken back, and report their load. */
    public void onHealthChanged(long now) {
        steadyWeight = 0;
        ejected = 0;
        double reported = 0;
        for (Endpoint endpoint : endpoints.all()) {
            steadyWeight += endpoint.isInUse() && endpoint.isSteady(now) ? endpoint.weight() : 0;
            ejected += endpoint.ejection().isEjected() ? 1 : 0;
            reported += endpoint.isInUse() ? endpoint.reportedLoad(now) : 0;
        }
        meanReportedLoad = reported / Math.max(1, inUse);
    }

    /** Number of endpoints in use. */
    public int inUse() {
        return inUse;
    }

    /** Number of endpoints in use in this sidecar's zone. */
    public int inUseLocally() {
        return inUseLocally;
    }

    /** The weight of the endpoints in use, added up. */
    public double weightInUse() {
        return weightInUse;
    }

    /** The weight of the endpoints that are warm, not ejected and in use. */
    public double steadyWeight() {
        return steadyWeight;
    }

    /** Number of ejected endpoints. */
    public int ejected() {
        return ejected;
    }

    /** Mean reported load of the endpoints in use. */
    public double meanReportedLoad() {
        return meanReportedLoad;
    }

    /** How many sidecars send to an endpoint. */
    public double sidecarsPerEndpoint() {
        return sidecarsPerEndpoint;
    }
}
