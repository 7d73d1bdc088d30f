package trestlegrade.discovery;

import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.util.Optional;
import trestlegrade.config.HostPort;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.policy.endpoint.EndpointUpdate;

/**
 * One entry of the endpoint list. Only this class knows the names of its fields and states on the wire.
 *
 * <table>
 * <caption>Fields and states</caption>
 * <tr><th>on the wire</th><th>meaning</th></tr>
 * <tr><td>{@code name}</td><td>name, the same at every sidecar</td></tr>
 * <tr><td>{@code address}</td><td>address, {@code host:port}; may differ between sidecars</td></tr>
 * <tr><td>{@code zone}</td><td>zone</td></tr>
 * <tr><td>{@code type}</td><td>kind of machine</td></tr>
 * <tr><td>{@code group}</td><td>cell: the endpoints of one cell share their idempotency keys; 0 by default</td></tr>
 * <tr><td>{@code weight}</td><td>weight, above 0; 1 by default</td></tr>
 * <tr><td>{@code since_ms}</td><td>Unix time of the latest start, in ms; 0 (default) means long ago</td></tr>
 * <tr><td>{@code status} {@code active}</td><td>READY</td></tr>
 * <tr><td>{@code status} {@code left}</td><td>GONE</td></tr>
 * <tr><td>{@code status} {@code leaving}, or any other</td><td>DRAINING</td></tr>
 * </table>
 *
 * <p>Accessors throw {@link MalformedEndpointListException}, or another {@link RuntimeException} if a field has the
 * wrong JSON type. Fields are read one by one, because an entry with a malformed field may still say that its endpoint
 * drains.
 */
final class EndpointEntry {
    private static final String STATUS_READY = "active";
    private static final String STATUS_GONE = "left";

    private final JsonObject json;

    EndpointEntry(JsonObject json) {
        this.json = json;
    }

    String name() {
        return validName().orElseThrow(() -> new MalformedEndpointListException("name: must be a string"));
    }

    EndpointUpdate.State state() {
        return switch (json.getString("status", "")) {
            case STATUS_READY -> EndpointUpdate.State.READY;
            case STATUS_GONE -> EndpointUpdate.State.GONE;
            default -> EndpointUpdate.State.DRAINING;
        };
    }

    double weight() {
        double weight = json.getDouble("weight", 1.0);
        if (!(weight > 0 && weight < Double.POSITIVE_INFINITY)) {
            throw new MalformedEndpointListException("weight: must be above 0, not " + weight);
        }
        return weight;
    }

    long launchedTicks() {
        return json.getLong("since_ms", 0L) * MonotonicClock.TICKS_PER_MILLI;
    }

    SocketAddress address() {
        return HostPort.parse("address", json.getString("address"));
    }

    String zone() {
        return json.getString("zone");
    }

    String kind() {
        return json.getString("type");
    }

    int cell() {
        return json.getInteger("group", 0);
    }

    /** Returns the name if the field is a string. */
    Optional<String> validName() {
        return json.getValue("name") instanceof String name ? Optional.of(name) : Optional.empty();
    }

    /** Returns the address as written if the field is a string, whether or not it is a valid address. */
    Optional<String> addressText() {
        return json.getValue("address") instanceof String address ? Optional.of(address) : Optional.empty();
    }

    /** Returns the state if the field is a string. An entry without a state says nothing about its endpoint's state. */
    Optional<EndpointUpdate.State> validState() {
        return json.getValue("status") instanceof String ? Optional.of(state()) : Optional.empty();
    }
}
