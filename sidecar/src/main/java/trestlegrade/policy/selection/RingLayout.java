package trestlegrade.policy.selection;

import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Decides how many points each endpoint in use has on the ring while its drop rate is 0: the design's number for an
 * endpoint of mean weight, and a number in proportion to the weight for others. The ring is rebuilt at the first
 * selection after a change of the list.
 */
public final class RingLayout {
    /** The design's number of points for an endpoint of mean weight whose drop rate is 0. */
    private static final int POINTS_AT_MEAN_WEIGHT = 100;
    /**
     * The mean weight is updated only when it has changed by a quarter, so that one additional endpoint does not change
     * the points of the others.
     */
    private static final double MIN_MEAN_WEIGHT_RATIO = 0.8;

    private static final double MAX_MEAN_WEIGHT_RATIO = 1.25;

    private final EndpointTable endpoints;
    private final FleetSummary fleet;
    private final EndpointSubset subset;
    private final SeededRandom random;
    private final HashRing ring = new HashRing();
    private boolean stale;
    private double meanWeight;

    /** Creates an empty layout. It uses the random source for positions only and draws no numbers. */
    public RingLayout(EndpointTable endpoints, FleetSummary fleet, PolicySettings settings, SeededRandom random) {
        this.endpoints = endpoints;
        this.fleet = fleet;
        this.random = random;
        subset = new EndpointSubset(settings, random);
    }

    /** Called when the endpoint list has changed. */
    public void onEndpointUpdates() {
        stale = true;
    }

    /**
     * Rebuilds the ring if the list has changed since the last call; {@code healthAsOf} is the time of the latest tick.
     */
    public void refresh(long healthAsOf) {
        if (!stale) {
            return;
        }
        stale = false;
        subset.choose(endpoints.all());
        fleet.onSubsetChanged();
        updateMeanWeight();
        for (Endpoint endpoint : endpoints.all()) {
            double points = Math.min(HashRing.MAX_POINTS, POINTS_AT_MEAN_WEIGHT * endpoint.weight() / meanWeight);
            endpoint.setRingPoints(endpoint.isInUse() ? (int) Math.max(1, Math.round(points)) : 0);
        }
        ring.build(endpoints.all(), random);
        fleet.onHealthChanged(healthAsOf);
    }

    private void updateMeanWeight() {
        double mean = fleet.weightInUse() / Math.max(1, fleet.inUse());
        if (!(mean > MIN_MEAN_WEIGHT_RATIO * meanWeight && mean < MAX_MEAN_WEIGHT_RATIO * meanWeight)) {
            meanWeight = mean;
        }
    }

    /** Returns the ring as of the latest {@link #refresh}. */
    public HashRing ring() {
        return ring;
    }
}
