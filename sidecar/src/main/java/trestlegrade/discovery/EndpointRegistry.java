package trestlegrade.discovery;

import com.carrotsearch.hppc.LongObjectHashMap;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;
import org.tinylog.Logger;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.endpoint.EndpointUpdate;

/**
 * The endpoints by id, name and address, as last listed, and the numbers of zones and kinds. Not thread-safe: it is
 * confined to the event loop.
 */
public final class EndpointRegistry {
    /** Bounds the length of a log line, because many endpoints may drain at once. */
    private static final int MAX_LOGGED_NAMES = 16;

    private final LongObjectHashMap<Endpoint> byId = new LongObjectHashMap<>();
    private final NameNumbering zones;
    private final NameNumbering kinds;
    private final Listener listener;
    private final Counters counters;
    /** Names of the endpoints that the current list has made inactive. */
    private final List<String> deactivated = new ArrayList<>();
    /** Number of the current list. An endpoint that a snapshot leaves out has an earlier number. */
    private int listNumber;

    /** One endpoint, with its address and whether it accepts new requests. */
    public static final class Endpoint {
        public final long id;
        public final String name;
        public SocketAddress address;
        /** Whether the endpoint accepts new requests, because it is listed as ready. */
        public boolean active;

        private EndpointUpdate update;
        private long launchedTicks;
        private int listNumber;

        /** Creates an endpoint that has not been listed yet. */
        public Endpoint(long id, String name) {
            this.id = id;
            this.name = name;
        }
    }

    /**
     * Is notified of endpoints that were removed from the list, drain, moved or restarted. Open connections to them are
     * no longer useful.
     */
    public interface Listener {
        /** Called on the event loop, while the list is applied. */
        void endpointOutdated(Endpoint endpoint);
    }

    /** Creates a registry without endpoints. The given zones and kinds are numbered by their positions. */
    public EndpointRegistry(List<String> zones, List<String> kinds, Listener listener, Counters counters) {
        this.zones = new NameNumbering(zones);
        this.kinds = new NameNumbering(kinds);
        this.listener = listener;
        this.counters = counters;
    }

    /** Returns all registered endpoints, as last listed. */
    public List<EndpointUpdate> all() {
        List<EndpointUpdate> updates = new ArrayList<>(byId.size());
        for (var each : byId) {
            updates.add(each.value.update);
        }
        return updates;
    }

    /** Returns the number of a zone. It stays the same for all settings until the process ends. */
    public int zoneNumber(String name) {
        return zones.numberOf(name);
    }

    /** Returns the endpoint with this id, or null if it is not listed. */
    public Endpoint endpoint(long id) {
        return byId.get(id);
    }

    /** Returns whether any endpoint accepts new requests. */
    public boolean anyActive() {
        for (var each : byId) {
            if (each.value.active) {
                return true;
            }
        }
        return false;
    }

    /**
     * Applies entries of the list and returns the updates for the load balancer. Malformed entries are counted, logged
     * and applied as far as they are usable.
     *
     * @param snapshot whether the entries are all endpoints, so that endpoints without an entry are removed
     */
    public List<EndpointUpdate> applyList(JsonArray entries, boolean snapshot) {
        listNumber++;
        deactivated.clear();
        List<EndpointUpdate> updates = new ArrayList<>(entries.size());
        for (int i = 0; i < entries.size(); i++) {
            try {
                apply(new EndpointEntry(entries.getJsonObject(i)), updates);
            } catch (RuntimeException e) {
                handleMalformed(entries.getValue(i), e, updates);
            }
        }
        if (snapshot) {
            removeUnlisted();
        }
        logApplied(entries.size(), snapshot);
        return updates;
    }

    private void apply(EndpointEntry entry, List<EndpointUpdate> updates) {
        String name = entry.name();
        long id = id(name);
        EndpointUpdate.State state = entry.state();
        Endpoint known = byId.get(id);
        if (state == EndpointUpdate.State.GONE) {
            updates.add(gone(id));
            if (known != null) {
                remove(known);
            }
            return;
        }
        // All fields are read before any is applied, so that an entry with a malformed field changes nothing here.
        double weight = entry.weight();
        long launchedTicks = entry.launchedTicks();
        SocketAddress address = entry.address();
        int zone = zones.numberOf(entry.zone());
        int kind = kinds.numberOf(entry.kind());
        EndpointUpdate update = new EndpointUpdate(id, zone, kind, entry.cell(), state, weight, launchedTicks);
        Endpoint endpoint = known == null ? new Endpoint(id, name) : known;
        boolean outdated = endpoint.active && isOutdated(endpoint, address, update);
        endpoint.address = address;
        endpoint.launchedTicks = launchedTicks;
        endpoint.listNumber = listNumber;
        setState(endpoint, state);
        if (endpoint.active && !removeOtherAtSameAddress(endpoint, updates)) {
            updates.add(gone(id));
            remove(endpoint);
            return;
        }
        updates.add(update);
        endpoint.update = update;
        byId.put(id, endpoint);
        if (outdated) {
            listener.endpointOutdated(endpoint);
        }
    }

    private static boolean isOutdated(Endpoint endpoint, SocketAddress address, EndpointUpdate update) {
        return update.state() != EndpointUpdate.State.READY
                || update.launchedAt() != endpoint.launchedTicks
                || !address.equals(endpoint.address);
    }

    private void setState(Endpoint endpoint, EndpointUpdate.State state) {
        if (state == EndpointUpdate.State.READY) {
            endpoint.active = true;
        } else {
            deactivate(endpoint);
        }
    }

    /**
     * Removes another active endpoint that has the same address. If the other endpoint started later, keeps it and
     * returns false. Two endpoints cannot listen at one address, so only the one that started last can be there,
     * whatever the list says about the other.
     */
    private boolean removeOtherAtSameAddress(Endpoint endpoint, List<EndpointUpdate> updates) {
        for (var each : byId.values()) {
            Endpoint other = each.value;
            if (other != endpoint && other.active && other.address.equals(endpoint.address)) {
                if (other.launchedTicks > endpoint.launchedTicks) {
                    return false;
                }
                updates.add(gone(other.id));
                remove(other);
                return true;
            }
        }
        return true;
    }

    private void handleMalformed(Object entry, RuntimeException cause, List<EndpointUpdate> updates) {
        counters.badEntries++;
        counters.log.add(() -> Logger.warn("list code=bad-entry cause={} entry={}", cause.getMessage(), entry));
        if (entry instanceof JsonObject json) {
            applyMalformed(new EndpointEntry(json), updates);
        }
    }

    /**
     * Applies a malformed entry as far as it is usable. If it identifies an endpoint by name, or else by address, it
     * still says that the endpoint drains or is removed. Otherwise the endpoint stays as last listed.
     */
    private void applyMalformed(EndpointEntry entry, List<EndpointUpdate> updates) {
        Endpoint known = identify(entry);
        if (known == null) {
            return;
        }
        known.listNumber = listNumber;
        EndpointUpdate.State state = entry.validState().orElse(EndpointUpdate.State.READY);
        if (state == EndpointUpdate.State.GONE) {
            updates.add(gone(known.id));
            remove(known);
            return;
        }
        boolean draining = state == EndpointUpdate.State.DRAINING;
        known.update = draining ? known.update.asDraining() : known.update;
        updates.add(known.update);
        if (draining && known.active) {
            deactivate(known);
            listener.endpointOutdated(known);
        }
    }

    private Endpoint identify(EndpointEntry entry) {
        Optional<String> name = entry.validName();
        if (name.isPresent()) {
            return byId.get(id(name.get()));
        }
        return entry.addressText().map(this::findByAddress).orElse(null);
    }

    private Endpoint findByAddress(String address) {
        for (var each : byId.values()) {
            if (each.value.address.toString().equals(address)) {
                return each.value;
            }
        }
        return null;
    }

    private void removeUnlisted() {
        List<Endpoint> unlisted = new ArrayList<>();
        for (var each : byId.values()) {
            if (each.value.listNumber != listNumber) {
                unlisted.add(each.value);
            }
        }
        unlisted.forEach(this::remove);
    }

    /** Removes an endpoint. Attempts in flight to it keep a reference until they end. */
    private void remove(Endpoint endpoint) {
        byId.remove(endpoint.id);
        deactivate(endpoint);
        listener.endpointOutdated(endpoint);
    }

    private void deactivate(Endpoint endpoint) {
        if (endpoint.active) {
            endpoint.active = false;
            deactivated.add(endpoint.name);
        }
    }

    private void logApplied(int entries, boolean snapshot) {
        int known = byId.size();
        int deactivatedCount = deactivated.size();
        List<String> names = List.copyOf(deactivated.subList(0, Math.min(MAX_LOGGED_NAMES, deactivatedCount)));
        counters.log.add(() -> Logger.info(
                "list code=applied whole={} entries={} known={} stopped={} names={}",
                snapshot,
                entries,
                known,
                deactivatedCount,
                names));
    }

    private static EndpointUpdate gone(long id) {
        return new EndpointUpdate(id, 0, 0, 0, EndpointUpdate.State.GONE, 0, 0);
    }

    /**
     * Returns the id for a name, which is the same at every sidecar. It combines two 32-bit hashes, because a single
     * hash is more likely to collide.
     */
    private static long id(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue() << 31 ^ Integer.toUnsignedLong(name.hashCode());
    }
}
