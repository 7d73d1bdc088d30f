package trestlegrade.config;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import trestlegrade.policy.settings.PolicySettings;

/** What a sidecar is told at its start: who it is, whom it serves, and on which terms. */
public record SidecarConfig(
        String name,
        SocketAddress listen,
        SocketAddress discovery,
        long seed,
        int sockets,
        long version,
        JsonArray known,
        PolicySettings terms,
        List<String> profiles,
        List<String> customers,
        List<String> zones,
        List<String> kinds,
        long idleFor,
        long connectWithin,
        double agreedRate,
        long drainGrace) {

    /** Reads the file that LB_CONFIG names; what the file leaves out may stand in the environment. */
    public static SidecarConfig read(Map<String, String> environment) {
        String path = environment.get("LB_CONFIG");
        if (path == null || path.isEmpty()) {
            throw bad("LB_CONFIG", "not set; it names the configuration file");
        }
        JsonObject file;
        try {
            file = new JsonObject(Files.readString(Path.of(path), StandardCharsets.UTF_8));
        } catch (IOException | InvalidPathException e) {
            throw bad("LB_CONFIG", "cannot read " + path + ": " + e);
        } catch (DecodeException e) {
            throw bad("LB_CONFIG", path + " is not JSON: " + e.getMessage());
        }
        return of(file, environment);
    }

    public static SidecarConfig of(JsonObject file, Map<String, String> environment) {
        JsonObject settings = object(file, "settings");
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        PolicySettingsReader reader = new PolicySettingsReader(values);
        PolicySettings terms;
        try {
            terms = reader.terms();
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: " + e.getMessage(), e);
        }
        List<String> zones = plain(settings, "azs");
        if (terms.zone() >= Math.max(1, zones.size())) {
            throw bad("settings.zone", "is not among the " + zones.size() + " of settings.azs");
        }
        if (terms.number() >= terms.sidecars()) {
            throw bad("settings.my_number", "must be under settings.n_instances");
        }
        JsonObject limits = object(file, "limits");
        JsonObject known = object(file, "known");
        if (!(known.getValue("endpoints") instanceof JsonArray entries)) {
            throw bad("known.endpoints", "must be an array");
        }
        if (!(known.getValue("index", 0) instanceof Number version)) {
            throw bad("known.index", "must be a number");
        }
        return new SidecarConfig(
                text(file, "name", environment.get("LB_NAME")),
                address("listen", text(file, "listen", environment.get("LB_LISTEN"))),
                address("discovery", text(file, "discovery", environment.get("LB_DISCOVERY"))),
                seed(text(file, "seed", null)),
                sockets(limits),
                version.longValue(),
                entries,
                terms,
                names(settings, "profiles"),
                names(settings, "tenants"),
                zones,
                plain(settings, "flavors"),
                reader.time("ceilings.keepalive", 10_000.0),
                reader.time("ceilings.dial_timeout", 250.0),
                agreedRate(settings) / terms.sidecars(),
                reader.time("safety.drain_grace", 0.0));
    }

    /** The longest deadline, in milliseconds: what any transaction takes at the most. */
    public long longestDeadline() {
        return terms.profiles().stream()
                        .mapToLong(PolicySettings.Profile::deadline)
                        .max()
                        .orElse(0)
                / 10;
    }

    /** The longest service goal, in milliseconds. */
    public long longestGoal() {
        return terms.profiles().stream()
                        .mapToLong(PolicySettings.Profile::serviceGoal)
                        .max()
                        .orElse(0)
                / 10;
    }

    /** What another file says otherwise, of all that holds until the program ends. */
    public List<String> differsIn(SidecarConfig other) {
        Map<String, Boolean> same = new LinkedHashMap<>();
        same.put("name", name.equals(other.name));
        same.put("listen", listen.equals(other.listen));
        same.put("limits", sockets == other.sockets);
        return same.keySet().stream().filter(key -> !same.get(key)).toList();
    }

    public boolean sameSettings(SidecarConfig other) {
        return terms.equals(other.terms)
                && profiles.equals(other.profiles)
                && customers.equals(other.customers)
                && zones.equals(other.zones)
                && kinds.equals(other.kinds)
                && idleFor == other.idleFor
                && connectWithin == other.connectWithin
                && drainGrace == other.drainGrace;
    }

    /** Transactions a second that all customers together are granted of all sidecars; infinite if none says. */
    private static double agreedRate(JsonObject settings) {
        double sum = 0;
        if (settings.getValue("tenants") instanceof JsonArray tenants) {
            for (Object each : tenants) {
                if (each instanceof JsonObject one && one.getValue("allowance_per_s") instanceof Number n) {
                    sum += n.doubleValue();
                }
            }
        }
        return sum > 0 ? sum : Double.POSITIVE_INFINITY;
    }

    private static int sockets(JsonObject limits) {
        // Under 64 there is no room for the program itself, discovery and a few connections on either side.
        if (!(limits.getValue("sockets") instanceof Number n) || n.intValue() < 64) {
            throw bad("limits.sockets", "must be a number, 64 at least");
        }
        return n.intValue();
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw bad("seed", "must be a hexadecimal number of 16 digits at most");
        }
    }

    private static JsonObject object(JsonObject in, String key) {
        if (in.getValue(key) instanceof JsonObject found) {
            return found;
        }
        throw bad(key, "must be an object");
    }

    private static String text(JsonObject in, String key, String otherwise) {
        Object found = in.getValue(key) == null ? otherwise : in.getValue(key);
        if (found instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw bad(key, "must be a text");
    }

    public static SocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65_536) {
                return SocketAddress.inetSocketAddress(port, text.substring(0, colon));
            }
        } catch (NumberFormatException e) {
            // Falls through to the complaint below.
        }
        throw bad(key, "must be host:port, not " + text);
    }

    private static List<String> names(JsonObject settings, String key) {
        List<String> names = new ArrayList<>();
        if (settings.getValue(key) instanceof JsonArray array) {
            for (Object each : array) {
                if (!(each instanceof JsonObject one && one.getValue("name") instanceof String name)) {
                    throw bad("settings." + key + "." + names.size() + ".name", "must be a text");
                }
                names.add(name);
            }
        }
        return names;
    }

    private static List<String> plain(JsonObject settings, String key) {
        List<String> names = new ArrayList<>();
        if (settings.getValue(key) instanceof JsonArray array) {
            array.forEach(each -> names.add(Objects.toString(each)));
        }
        return names;
    }

    private static void flatten(String path, Object value, Map<String, String> into) {
        if (value instanceof JsonObject object) {
            for (Map.Entry<String, Object> each : object) {
                flatten(path.isEmpty() ? each.getKey() : path + "." + each.getKey(), each.getValue(), into);
            }
        } else if (value instanceof JsonArray array) {
            into.put(path + ".count", Integer.toString(array.size()));
            for (int i = 0; i < array.size(); i++) {
                flatten(path + "." + i, array.getValue(i), into);
            }
        } else if (value != null) {
            into.put(path, value.toString());
        }
    }

    private static IllegalArgumentException bad(String key, String why) {
        return new IllegalArgumentException(key + ": " + why);
    }
}
