package trestlegrade.config;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Reads a sidecar's configuration from its JSON file. {@code name}, {@code listen} and {@code discovery} may be given
 * by environment variables instead ({@code LB_NAME}, {@code LB_LISTEN}, {@code LB_DISCOVERY}).
 */
public final class SidecarConfigReader {
    private static final String CONFIG_PATH_VARIABLE = "LB_CONFIG";
    /** Suffices for the process itself, discovery and a few connections to clients and to endpoints. */
    private static final int MIN_SOCKETS = 64;

    private static final double DEFAULT_IDLE_TIMEOUT_MILLIS = 10_000;
    private static final double DEFAULT_CONNECT_TIMEOUT_MILLIS = 250;
    private static final int HEXADECIMAL = 16;

    private final JsonObject file;
    private final Map<String, String> environment;

    private SidecarConfigReader(JsonObject file, Map<String, String> environment) {
        this.file = file;
        this.environment = environment;
    }

    /**
     * Reads the configuration from the file whose path is in {@code LB_CONFIG}.
     *
     * @throws ConfigException if the file cannot be read, lacks a required key or has an invalid value
     */
    public static SidecarConfig read(Map<String, String> environment) {
        String path = environment.get(CONFIG_PATH_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigException(CONFIG_PATH_VARIABLE, "not set; must be the path of the configuration file");
        }
        JsonObject file;
        try {
            file = new JsonObject(Files.readString(Path.of(path), StandardCharsets.UTF_8));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException(CONFIG_PATH_VARIABLE, "cannot read " + path + ": " + e);
        } catch (DecodeException e) {
            throw new ConfigException(CONFIG_PATH_VARIABLE, path + " is not a JSON object: " + e.getMessage());
        }
        return of(file, environment);
    }

    /**
     * Reads the configuration from a parsed file.
     *
     * @throws ConfigException if the file lacks a required key or has an invalid value
     */
    public static SidecarConfig of(JsonObject file, Map<String, String> environment) {
        return new SidecarConfigReader(file, environment).config();
    }

    private SidecarConfig config() {
        JsonObject settings = object("settings");
        SettingValues values = SettingValues.ofJson(settings);
        PolicySettings policy = policySettings(values);
        List<String> zones = strings(settings, SettingNames.ZONES);
        checkIndexes(policy, zones);
        JsonObject limits = object("limits");
        JsonObject known = object("known");
        if (!(known.getValue("endpoints") instanceof JsonArray entries)) {
            throw new ConfigException("known.endpoints", "must be an array");
        }
        if (!(known.getValue("index", 0) instanceof Number version)) {
            throw new ConfigException("known.index", "must be a number");
        }
        return new SidecarConfig(
                text("name", environment.get("LB_NAME")),
                HostPort.parse("listen", text("listen", environment.get("LB_LISTEN"))),
                HostPort.parse("discovery", text("discovery", environment.get("LB_DISCOVERY"))),
                seed(),
                sockets(limits),
                version.longValue(),
                entries,
                policy,
                names(settings, SettingNames.PROFILES),
                names(settings, SettingNames.CUSTOMERS),
                zones,
                strings(settings, SettingNames.MACHINE_KINDS),
                values.ticks(SettingNames.IDLE_TIMEOUT, DEFAULT_IDLE_TIMEOUT_MILLIS),
                values.ticks(SettingNames.CONNECT_TIMEOUT, DEFAULT_CONNECT_TIMEOUT_MILLIS),
                contractedRatePerSecond(settings) / policy.fleetSize(),
                values.ticks(SettingNames.DRAIN_GRACE, 0.0));
    }

    private static PolicySettings policySettings(SettingValues values) {
        try {
            return new PolicySettingsReader(values).read();
        } catch (ConfigException e) {
            throw e.within("settings");
        }
    }

    private static void checkIndexes(PolicySettings policy, List<String> zones) {
        if (policy.zone() >= Math.max(1, zones.size())) {
            throw new ConfigException(
                    "settings." + SettingNames.LOCAL_ZONE,
                    "must be an index into settings." + SettingNames.ZONES + ", which has size " + zones.size());
        }
        if (policy.sidecarIndex() >= policy.fleetSize()) {
            throw new ConfigException(
                    "settings." + SettingNames.SIDECAR_INDEX, "must be less than settings." + SettingNames.FLEET_SIZE);
        }
    }

    /** Returns the sum of the customers' contracted rates for the whole fleet; infinite if no customer has one. */
    private static double contractedRatePerSecond(JsonObject settings) {
        double sum = 0;
        if (settings.getValue(SettingNames.CUSTOMERS) instanceof JsonArray customers) {
            for (Object each : customers) {
                if (each instanceof JsonObject customer
                        && customer.getValue(SettingNames.CUSTOMER_CONTRACTED_RATE) instanceof Number rate) {
                    sum += rate.doubleValue();
                }
            }
        }
        return sum > 0 ? sum : Double.POSITIVE_INFINITY;
    }

    private static int sockets(JsonObject limits) {
        if (!(limits.getValue("sockets") instanceof Number sockets) || sockets.intValue() < MIN_SOCKETS) {
            throw new ConfigException("limits.sockets", "must be a number of at least " + MIN_SOCKETS);
        }
        return sockets.intValue();
    }

    private long seed() {
        try {
            return Long.parseUnsignedLong(text("seed", null), HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "must be a hexadecimal number of at most 16 digits");
        }
    }

    private JsonObject object(String key) {
        if (file.getValue(key) instanceof JsonObject found) {
            return found;
        }
        throw new ConfigException(key, "must be an object");
    }

    private String text(String key, String defaultValue) {
        Object found = file.getValue(key) == null ? defaultValue : file.getValue(key);
        if (found instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new ConfigException(key, "must be a non-empty string");
    }

    /** Returns the names of the elements of a list, or an empty list if the setting is missing. */
    private static List<String> names(JsonObject settings, String list) {
        List<String> names = new ArrayList<>();
        if (settings.getValue(list) instanceof JsonArray array) {
            for (Object each : array) {
                if (!(each instanceof JsonObject element && element.getValue("name") instanceof String name)) {
                    throw new ConfigException("settings." + list + "." + names.size() + ".name", "must be a string");
                }
                names.add(name);
            }
        }
        return names;
    }

    /** Returns the elements of a list as strings, or an empty list if the setting is missing. */
    private static List<String> strings(JsonObject settings, String list) {
        List<String> strings = new ArrayList<>();
        if (settings.getValue(list) instanceof JsonArray array) {
            array.forEach(each -> strings.add(Objects.toString(each)));
        }
        return strings;
    }
}
