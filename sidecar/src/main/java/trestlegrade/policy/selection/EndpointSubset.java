package trestlegrade.policy.selection;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.settings.PolicySettings;

/**
 * The endpoints that this sidecar sends to at all: all that are ready, or, where open connections cost, a window of
 * each zone's (deterministic subsetting). Windows begin evenly spread over the endpoints in an order that is the same
 * at every sidecar, so that each endpoint is in as many.
 */
final class EndpointSubset {
    /** Multiples of the golden ratio spread evenly whichever numbers a zone's sidecars have. */
    private static final double GOLDEN_RATIO = 0.6180339887498949;
    /** Sidecars that keep connections to one endpoint: half of those at which the fee is due in full. */
    private static final double CONNECTIONS_PER_ENDPOINT = 50;
    /** With fewer the loss of one would be more than a third. */
    private static final double LEAST_WINDOW = 4;
    /** Sets the order of endpoints apart from the ring's points and the keys' positions. */
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
        zones.values().forEach(zone -> keepWindow(zone, zones.size()));
    }

    private void keepWindow(List<Endpoint> zone, int zones) {
        int count = zone.size();
        int first = (int) (settings.sidecarIndex() * GOLDEN_RATIO % 1 * count);
        double share = CONNECTIONS_PER_ENDPOINT * count * zones / settings.fleetSize();
        long window = Math.round(Math.max(LEAST_WINDOW, share));
        for (long i = window; i < count; i++) {
            zone.get((int) ((first + i) % count)).setInUse(false);
        }
    }
}
