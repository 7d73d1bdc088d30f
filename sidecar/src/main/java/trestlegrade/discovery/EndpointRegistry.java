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
 * The endpoints by id, name and address, as the endpoint list last gave them, and the numbers of zones and kinds. Not
 * thread-safe: it belongs to the event loop.
 */
public final class EndpointRegistry {
    /** Most names in one line of the log, however many endpoints drain at once. */
    private static final int MAX_LOGGED_NAMES = 16;

    private final LongObjectHashMap<Endpoint> byId = new LongObjectHashMap<>();
    private final NameNumbering zones;
    private final NameNumbering kinds;
    private final Watcher watcher;
    private final Counters counters;
    /** Names of the endpoints that stopped taking new requests with the list under way. */
    private final List<String> stopped = new ArrayList<>();
    /** Number of the list under way; an endpoint that a snapshot leaves out bears an earlier one. */
    private int listNumber;

    /** One endpoint: where it listens and whether it takes new requests. */
    public static final class Endpoint {
        public final long id;
        public final String name;
        public SocketAddress address;
        /** Whether it takes new requests: it is listed as ready. */
        public boolean active;

        private EndpointUpdate update;
        private long launchedTicks;
        private int listNumber;

        /** One that has not been listed yet. */
        public Endpoint(long id, String name) {
            this.id = id;
            this.name = name;
        }
    }

    /** Is notified of endpoints that left, drain, moved or restarted: connections open to them are of no more use. */
    public interface Watcher {
        /** Called on the event loop, while the list is taken over. */
        void outdated(Endpoint endpoint);
    }

    /** Starts without endpoints; the zones and kinds given have the numbers of their places. */
    public EndpointRegistry(List<String> zones, List<String> kinds, Watcher watcher, Counters counters) {
        this.zones = new NameNumbering(zones);
        this.kinds = new NameNumbering(kinds);
        this.watcher = watcher;
        this.counters = counters;
    }

    /** Returns all endpoints that have not left, as they were last listed. */
    public List<EndpointUpdate> all() {
        List<EndpointUpdate> updates = new ArrayList<>(byId.size());
        for (var each : byId) {
            updates.add(each.value.update);
        }
        return updates;
    }

    /** Returns a zone's number; it holds for all settings until the process ends. */
    public int zoneNumber(String name) {
        return zones.numberOf(name);
    }

    /** Returns the endpoint with this id, or null if it is not listed. */
    public Endpoint endpoint(long id) {
        return byId.get(id);
    }

    /** Returns whether any endpoint takes new requests. */
    public boolean anyActive() {
        for (var each : byId) {
            if (each.value.active) {
                return true;
            }
        }
        return false;
    }

    /**
     * Takes over entries of the list and returns what the decisions need of them. Malformed entries are counted, logged
     * and used as far as they go.
     *
     * @param snapshot whether the entries are all endpoints, so that those not among them have left
     */
    public List<EndpointUpdate> applyList(JsonArray entries, boolean snapshot) {
        listNumber++;
        stopped.clear();
        List<EndpointUpdate> updates = new ArrayList<>(entries.size());
        for (int i = 0; i < entries.size(); i++) {
            try {
                apply(new EndpointEntry(entries.getJsonObject(i)), updates);
            } catch (RuntimeException e) {
                reject(entries.getValue(i), e, updates);
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
        // All fields are read before any is taken over, so that a malformed one changes nothing.
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
        if (endpoint.active && !evictFromAddress(endpoint, updates)) {
            updates.add(gone(id));
            remove(endpoint);
            return;
        }
        updates.add(update);
        endpoint.update = update;
        byId.put(id, endpoint);
        if (outdated) {
            watcher.outdated(endpoint);
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
            stop(endpoint);
        }
    }

    /**
     * Two endpoints cannot listen at one address: the one that started last does, whatever the list says of the other.
     * Removes another endpoint from this one's address; returns false if the other one started later and stays.
     */
    private boolean evictFromAddress(Endpoint endpoint, List<EndpointUpdate> updates) {
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

    private void reject(Object entry, RuntimeException cause, List<EndpointUpdate> updates) {
        counters.badEntries++;
        counters.log.add(() -> Logger.warn("list code=bad-entry cause={} entry={}", cause.getMessage(), entry));
        if (entry instanceof JsonObject json) {
            applyMalformed(new EndpointEntry(json), updates);
        }
    }

    /**
     * Uses a malformed entry as far as it goes. If it identifies an endpoint by name or else by address, it still says
     * either that this one drains or has left, or that it is still there as it was last listed.
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
            stop(known);
            watcher.outdated(known);
        }
    }

    private Endpoint identify(EndpointEntry entry) {
        Optional<String> name = entry.validName();
        if (name.isPresent()) {
            return byId.get(id(name.get()));
        }
        return entry.addressText().map(this::at).orElse(null);
    }

    private Endpoint at(String address) {
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

    /** Forgets an endpoint; attempts in flight to it keep it until they end. */
    private void remove(Endpoint endpoint) {
        byId.remove(endpoint.id);
        stop(endpoint);
        watcher.outdated(endpoint);
    }

    private void stop(Endpoint endpoint) {
        if (endpoint.active) {
            endpoint.active = false;
            stopped.add(endpoint.name);
        }
    }

    private void logApplied(int entries, boolean snapshot) {
        int known = byId.size();
        int stops = stopped.size();
        List<String> names = List.copyOf(stopped.subList(0, Math.min(MAX_LOGGED_NAMES, stops)));
        counters.log.add(() -> Logger.info(
                "list code=applied whole={} entries={} known={} stopped={} names={}",
                snapshot,
                entries,
                known,
                stops,
                names));
    }

    private static EndpointUpdate gone(long id) {
        return new EndpointUpdate(id, 0, 0, 0, EndpointUpdate.State.GONE, 0, 0);
    }

    /**
     * Returns the same id at every sidecar; it is made of two hashes of 32 bits, since one alone is likelier to
     * collide.
     */
    private static long id(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue() << 31 ^ Integer.toUnsignedLong(name.hashCode());
    }
}
