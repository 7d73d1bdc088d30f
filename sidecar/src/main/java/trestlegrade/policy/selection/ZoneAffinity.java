package trestlegrade.policy.selection;

import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Keeps selections in this sidecar's zone if cross-zone requests have a cost. While the wait shows that the zone is
 * overloaded, an increasing fraction of the selections may go to all zones.
 */
public final class ZoneAffinity {
    /**
     * Below this cost, as a fraction of the value of a first attempt, selections are not limited to the local zone,
     * because the saving is not worth an overload of the local zone.
     */
    private static final double MIN_CROSS_ZONE_COST = 0.05;
    /**
     * The local zone is overloaded if the expected wait exceeds this multiple of the wait that every profile permits.
     */
    private static final double OVERLOAD_WAIT_MULTIPLE = 2;
    /** Change per tick. After one second of overload all selections may cross zones; the reverse takes as long. */
    private static final double STEP = 0.01;

    private final FleetSummary fleet;
    private final SeededRandom random;
    private final boolean crossingCosts;
    private double crossZoneFraction;

    /** Creates a zone affinity that draws a random number for each selection that may be limited to the local zone. */
    public ZoneAffinity(PolicySettings settings, FleetSummary fleet, SeededRandom random) {
        this.fleet = fleet;
        this.random = random;
        crossingCosts = settings.crossZoneCost() >= MIN_CROSS_ZONE_COST;
        crossZoneFraction = crossingCosts ? 0 : 1;
    }

    /**
     * Adjusts the fraction of selections that may cross zones.
     *
     * @param elapsedPeriods periods of 10 ms since the last call; skipped periods decrease the fraction but never
     *     increase it
     */
    public void onTick(double expectedWaitTicks, double minPermittedWaitTicks, double elapsedPeriods) {
        if (!crossingCosts) {
            return;
        }
        boolean overloaded = expectedWaitTicks > OVERLOAD_WAIT_MULTIPLE * minPermittedWaitTicks;
        double step = overloaded ? STEP : -STEP * elapsedPeriods;
        crossZoneFraction = Math.max(0, Math.min(1, crossZoneFraction + step));
    }

    /** Returns whether the next selection is limited to the local zone. */
    public boolean drawLocalOnly() {
        return crossZoneFraction < 1 && fleet.inUseInLocalZone() > 0 && random.next() >= crossZoneFraction;
    }

    /**
     * Returns the number of endpoints over which selections are spread: those of the local zone, and of the others the
     * fraction of selections that may cross zones.
     */
    public int effectiveEndpoints() {
        double remoteEndpoints = crossZoneFraction * (fleet.inUse() - fleet.inUseInLocalZone());
        return Math.max(1, (int) Math.round(fleet.inUseInLocalZone() + remoteEndpoints));
    }
}
