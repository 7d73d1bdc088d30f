package trestlegrade.discovery;

import com.carrotsearch.hppc.LongObjectHashMap;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import org.tinylog.Logger;
import trestlegrade.config.SidecarConfig;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.endpoint.EndpointUpdate;

/** The endpoints by name and address, as discovery's entries tell of them. */
public final class EndpointRegistry {

    /** One endpoint: where it listens and whether it takes anything new. */
    public static final class Endpoint {
        public final long id;
        public final String name;
        public SocketAddress address;
        public boolean active;
        private EndpointUpdate row;
        private long launched;
        private int pass;

        public Endpoint(long id, String name) {
            this.id = id;
            this.name = name;
        }
    }

    /** Told of endpoints that left, drain, moved or started anew: old connections to them are of no use. */
    public interface Watcher {
        void outdated(Endpoint endpoint);
    }

    private final LongObjectHashMap<Endpoint> byId = new LongObjectHashMap<>();
    private final List<String> zones;
    private final List<String> kinds;
    private final Watcher watcher;
    private final Counters counters;
    private int passes;

    public EndpointRegistry(List<String> zones, List<String> kinds, Watcher watcher, Counters counters) {
        this.zones = new ArrayList<>(zones);
        this.kinds = new ArrayList<>(kinds);
        this.watcher = watcher;
        this.counters = counters;
    }

    /** All that have not left, as they were last listed. */
    public List<EndpointUpdate> all() {
        List<EndpointUpdate> rows = new ArrayList<>(byId.size());
        for (var each : byId) {
            rows.add(each.value.row);
        }
        return rows;
    }

    /** Where a zone stands among those known; the numbering only grows, so that it holds for all terms. */
    public int zone(String name) {
        return index(zones, name);
    }

    public Endpoint endpoint(long id) {
        return byId.get(id);
    }

    public boolean anyActive() {
        for (var each : byId) {
            if (each.value.active) {
                return true;
            }
        }
        return false;
    }

    /** Takes over a list, whole or only what changed; entries that cannot be read are left out and logged. */
    public List<EndpointUpdate> take(JsonArray entries, boolean whole) {
        passes++;
        stopped.clear();
        List<EndpointUpdate> rows = new ArrayList<>(entries.size());
        for (int i = 0; i < entries.size(); i++) {
            try {
                take(entries.getJsonObject(i), rows);
            } catch (RuntimeException e) {
                Object entry = entries.getValue(i);
                counters.badEntries++;
                counters.log.add(() -> Logger.warn("list code=bad-entry cause={} entry={}", e.getMessage(), entry));
                if (entry instanceof JsonObject told) {
                    keep(told, rows);
                }
            }
        }
        if (whole) {
            List<Endpoint> absent = new ArrayList<>();
            for (var each : byId.values()) {
                if (each.value.pass != passes) {
                    absent.add(each.value);
                }
            }
            absent.forEach(this::remove);
        }
        log(entries.size(), whole);
        return rows;
    }

    /** Which endpoints take nothing new from now on, that did before. */
    private void log(int entries, boolean whole) {
        int known = byId.size();
        int stops = stopped.size();
        List<String> names = List.copyOf(stopped.subList(0, Math.min(MOST_LOGGED, stops)));
        counters.log.add(() -> Logger.info(
                "list code=applied whole={} entries={} known={} stopped={} names={}",
                whole,
                entries,
                known,
                stops,
                names));
    }

    // A line of the log stays readable, whatever leaves at once.
    private static final int MOST_LOGGED = 16;
    private final List<String> stopped = new ArrayList<>();

    private void stop(Endpoint endpoint) {
        if (endpoint.active) {
            endpoint.active = false;
            stopped.add(endpoint.name);
        }
    }

    /**
     * Of an entry that cannot be read two things hold all the same, if it tells whose it is by name or else by address:
     * that the endpoint drains or has left, or that it is still there, as it was last listed.
     */
    private void keep(JsonObject told, List<EndpointUpdate> rows) {
        Endpoint known = told.getValue("name") instanceof String name
                ? byId.get(id(name))
                : told.getValue("address") instanceof String address ? at(address) : null;
        if (known == null) {
            return;
        }
        known.pass = passes;
        Object status = told.getValue("status");
        if ("left".equals(status)) {
            rows.add(new EndpointUpdate(known.id, 0, 0, 0, EndpointUpdate.State.GONE, 0, 0));
            remove(known);
        } else {
            boolean goes = status instanceof String && !"active".equals(status);
            known.row = goes ? known.row.draining() : known.row;
            rows.add(known.row);
            if (goes && known.active) {
                stop(known);
                watcher.outdated(known);
            }
        }
    }

    private Endpoint at(String address) {
        for (var each : byId.values()) {
            if (each.value.address.toString().equals(address)) {
                return each.value;
            }
        }
        return null;
    }

    /** One that has left is forgotten; attempts that are out to it keep it until they end. */
    private void remove(Endpoint endpoint) {
        byId.remove(endpoint.id);
        stop(endpoint);
        watcher.outdated(endpoint);
    }

    /** Two cannot listen at one address: the one that started last does, whatever is still said of the other. */
    private boolean outlives(Endpoint endpoint, List<EndpointUpdate> rows) {
        for (var each : byId.values()) {
            Endpoint other = each.value;
            if (other != endpoint && other.active && other.address.equals(endpoint.address)) {
                if (other.launched > endpoint.launched) {
                    return false;
                }
                rows.add(new EndpointUpdate(other.id, 0, 0, 0, EndpointUpdate.State.GONE, 0, 0));
                remove(other);
                return true;
            }
        }
        return true;
    }

    private void take(JsonObject entry, List<EndpointUpdate> rows) {
        if (!(entry.getValue("name") instanceof String name)) {
            throw new IllegalArgumentException("name: must be a text");
        }
        long id = id(name);
        EndpointUpdate.State state = switch (entry.getString("status", "")) {
            case "active" -> EndpointUpdate.State.READY;
            case "left" -> EndpointUpdate.State.GONE;
            default -> EndpointUpdate.State.DRAINING;
        };
        Endpoint endpoint = byId.get(id);
        if (state == EndpointUpdate.State.GONE) {
            rows.add(new EndpointUpdate(id, 0, 0, 0, state, 0, 0));
            if (endpoint != null) {
                remove(endpoint);
            }
            return;
        }
        if (endpoint == null) {
            endpoint = new Endpoint(id, name);
        }
        double weight = entry.getDouble("weight", 1.0);
        if (!(weight > 0 && weight < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("weight: must be above 0, not " + weight);
        }
        long launched = entry.getLong("since_ms", 0L) * 10;
        SocketAddress address = SidecarConfig.address("address", entry.getString("address"));
        EndpointUpdate row = new EndpointUpdate(
                id,
                index(zones, entry.getString("zone")),
                index(kinds, entry.getString("type")),
                entry.getInteger("group", 0),
                state,
                weight,
                launched);
        boolean outdated = endpoint.active
                && (state != EndpointUpdate.State.READY
                        || launched != endpoint.launched
                        || !address.equals(endpoint.address));
        endpoint.address = address;
        endpoint.launched = launched;
        if (state == EndpointUpdate.State.READY) {
            endpoint.active = true;
        } else {
            stop(endpoint);
        }
        endpoint.pass = passes;
        if (endpoint.active && !outlives(endpoint, rows)) {
            rows.add(new EndpointUpdate(id, 0, 0, 0, EndpointUpdate.State.GONE, 0, 0));
            remove(endpoint);
            return;
        }
        rows.add(row);
        endpoint.row = row;
        byId.put(id, endpoint);
        if (outdated) {
            watcher.outdated(endpoint);
        }
    }

    /** The same at every sidecar: two hashes of 32 bits, for one alone may be that of another name. */
    private static long id(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue() << 31 ^ Integer.toUnsignedLong(name.hashCode());
    }

    // Fleets of some hundreds of endpoints may have nearly as many zones and kinds.
    private static final int MOST_NAMES = 1024;

    private static int index(List<String> names, String name) {
        int at = names.indexOf(name);
        if (at < 0) {
            // However many names an unhappy list brings, the last stands for all that follow.
            if (names.size() < MOST_NAMES) {
                names.add(name);
            }
            at = names.size() - 1;
        }
        return at;
    }
}
