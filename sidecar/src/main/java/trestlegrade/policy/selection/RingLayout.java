package trestlegrade.policy.selection;

import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Decides how many points each endpoint in use has on the ring: the design's number for a healthy endpoint of mean
 * weight, and in proportion to the weight else. Laid out anew at the first pick after the list has changed.
 */
public final class RingLayout {
    /** The design's points for a healthy endpoint of mean weight. */
    private static final int POINTS = 100;
    /** The mean weight stands until it is a quarter off, so that one more endpoint leaves the others' points alone. */
    private static final double LEAST_CHANGE_DOWN = 0.8;

    private static final double LEAST_CHANGE_UP = 1.25;

    private final EndpointTable endpoints;
    private final FleetSummary fleet;
    private final EndpointSubset subset;
    private final SeededRandom random;
    private final HashRing ring = new HashRing();
    private boolean stale;
    private double meanWeight;

    /** Uses the random source for positions only: it draws no numbers. */
    public RingLayout(EndpointTable endpoints, FleetSummary fleet, PolicySettings settings, SeededRandom random) {
        this.endpoints = endpoints;
        this.fleet = fleet;
        this.random = random;
        subset = new EndpointSubset(settings, random);
    }

    /** The endpoint list has changed. */
    public void onEndpointUpdates() {
        stale = true;
    }

    /** Lays the ring out again if the list has changed since; {@code healthAsOf} is the time of the latest tick. */
    public void refresh(long healthAsOf) {
        if (!stale) {
            return;
        }
        stale = false;
        subset.choose(endpoints.all());
        fleet.onSubsetChanged();
        updateMeanWeight();
        for (Endpoint endpoint : endpoints.all()) {
            double points = Math.min(HashRing.MOST_POINTS, POINTS * endpoint.weight() / meanWeight);
            endpoint.setRingPoints(endpoint.isInUse() ? (int) Math.max(1, Math.round(points)) : 0);
        }
        ring.lay(endpoints.all(), random);
        fleet.onHealthChanged(healthAsOf);
    }

    private void updateMeanWeight() {
        double mean = fleet.weightInUse() / Math.max(1, fleet.inUse());
        if (!(mean > LEAST_CHANGE_DOWN * meanWeight && mean < LEAST_CHANGE_UP * meanWeight)) {
            meanWeight = mean;
        }
    }

    /** The ring as it was last laid out. */
    public HashRing ring() {
        return ring;
    }
}
