package trestlegrade.policy.selection;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Selects the endpoints to which this sidecar sends: all that are ready or, if open connections have a cost, a window
 * of each zone (deterministic subsetting). The starts of the windows are spread evenly over the endpoints in an order
 * that is the same at every sidecar, so that each endpoint is in equally many windows.
 */
final class EndpointSubset {
    /** Multiples of the golden ratio are spread evenly, whatever the indexes of a zone's sidecars are. */
    private static final double GOLDEN_RATIO = 0.6180339887498949;
    /**
     * Target number of sidecars connected to one endpoint: half of the number at which the full connection cost is due.
     */
    private static final double SIDECARS_PER_ENDPOINT = 50;
    /** In a smaller window the loss of one endpoint would be a third or more. */
    private static final double MIN_WINDOW = 4;
    /** Separates the order of endpoints from the ring's points and the positions of keys. */
    private static final long ORDER_SALT = -3;

    private final PolicySettings settings;
    private final SeededRandom random;

    EndpointSubset(PolicySettings settings, SeededRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Marks the endpoints in use. */
    void choose(List<Endpoint> endpoints) {
        endpoints.forEach(endpoint -> endpoint.setInUse(endpoint.isReady()));
        if (settings.connectionCost() == 0) {
            return;
        }
        Map<Integer, List<Endpoint>> zones = endpoints.stream()
                .filter(Endpoint::isReady)
                .sorted(Comparator.comparingLong(endpoint -> random.position(endpoint.id(), ORDER_SALT)))
                .collect(Collectors.groupingBy(Endpoint::zone));
        zones.values().forEach(zone -> selectWindow(zone, zones.size()));
    }

    private void selectWindow(List<Endpoint> zoneEndpoints, int zoneCount) {
        int count = zoneEndpoints.size();
        int first = (int) (settings.sidecarIndex() * GOLDEN_RATIO % 1 * count);
        double evenWindow = SIDECARS_PER_ENDPOINT * count * zoneCount / settings.fleetSize();
        long window = Math.round(Math.max(MIN_WINDOW, evenWindow));
        for (long i = window; i < count; i++) {
            zoneEndpoints.get((int) ((first + i) % count)).setInUse(false);
        }
    }
}
