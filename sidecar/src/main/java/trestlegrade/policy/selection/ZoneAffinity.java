package trestlegrade.policy.selection;

import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Keeps picks in this sidecar's zone where crossing zones costs, until the wait shows that the zone is overloaded; then
 * a growing part of the picks may go to all zones.
 */
public final class ZoneAffinity {
    /** A crossing that costs less, as a part of a transaction, is not worth overloading the local zone for. */
    private static final double LEAST_FEE = 0.05;
    /** Of the wait that every profile permits, what counts as overload of the local zone. */
    private static final double OVERLOAD_WAIT = 2;
    /** Each tick: all picks may cross after a second of overload, and as fast they come back. */
    private static final double STEP = 0.01;

    private final FleetSummary fleet;
    private final SeededRandom random;
    private final boolean crossingCosts;
    private double crossZonePart;

    /** Draws from the random source for each pick that may have to stay. */
    public ZoneAffinity(PolicySettings settings, FleetSummary fleet, SeededRandom random) {
        this.fleet = fleet;
        this.random = random;
        crossingCosts = settings.crossZoneCost() >= LEAST_FEE;
        crossZonePart = crossingCosts ? 0 : 1;
    }

    /**
     * Moves the part of the picks that may cross.
     *
     * @param periodsPassed periods of 10 ms since the last call; those that were left out bring picks back, but send
     *     none away
     */
    public void onTick(double expectedWaitTicks, double minPermittedWaitTicks, double periodsPassed) {
        if (!crossingCosts) {
            return;
        }
        boolean overloaded = expectedWaitTicks > OVERLOAD_WAIT * minPermittedWaitTicks;
        double step = overloaded ? STEP : -STEP * periodsPassed;
        crossZonePart = Math.max(0, Math.min(1, crossZonePart + step));
    }

    /** Whether the next pick shall stay in the local zone if it can. */
    public boolean drawStaysLocal() {
        return crossZonePart < 1 && fleet.inUseLocally() > 0 && random.next() >= crossZonePart;
    }

    /** The number of endpoints over which the picks spread: those of the local zone, and that part of the others. */
    public int endpointsInReach() {
        double crossZone = crossZonePart * (fleet.inUse() - fleet.inUseLocally());
        return Math.max(1, (int) Math.round(fleet.inUseLocally() + crossZone));
    }
}
