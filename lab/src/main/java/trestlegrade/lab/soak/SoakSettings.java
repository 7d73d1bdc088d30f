package trestlegrade.lab.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The configuration of the sidecars of a run. All times are in milliseconds. */
final class SoakSettings {
    static final int DRAIN_GRACE = 1_000;
    static final int MAX_DEADLINE = 3_000;
    static final int MIN_DEADLINE = 300;
    static final int MAX_SOCKETS = 512;
    /** The two values of hard_limit of the profile read, between which a reload switches. */
    static final int[] READ_HARD_LIMITS = {1_500, 2_000};

    private SoakSettings() {}

    /** Builds the configuration file, whose path is passed in LB_CONFIG. */
    static ObjectNode configuration(
            String name,
            int port,
            int discoveryPort,
            int sidecars,
            long seed,
            int readHardLimit,
            ObjectNode endpointList) {
        ObjectNode configuration = JsonNodeFactory.instance
                .objectNode()
                .put("name", name)
                .put("listen", "127.0.0.1:" + port)
                .put("discovery", "127.0.0.1:" + discoveryPort)
                .put("seed", Long.toHexString(seed));
        configuration
                .putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", 192)
                .put("sockets", MAX_SOCKETS);
        addSettings(configuration.putObject("settings"), sidecars, readHardLimit);
        configuration.set("known", endpointList);
        return configuration;
    }

    private static void addSettings(ObjectNode settings, int sidecars, int readHardLimit) {
        settings.put("membership_mode", "on_request").put("weights", "off").put("n_instances", sidecars);
        settings.putArray("azs").add("a").add("b");
        settings.putArray("flavors").add("m1");
        settings.putObject("ceilings")
                .put("cancelling", true)
                .put("dial_timeout", 250.0)
                .put("keepalive", 10_000.0)
                .put("max_hops", 3)
                .put("retry_after", true)
                .put("max_retry_after", 2_000.0);
        addProfiles(settings.putArray("profiles"), readHardLimit);
        settings.putObject("safety")
                .put("ask_within", 10_000)
                .put("cold_from", 0.3)
                .put("cold", 9_000)
                .put("fall_multiple", 3)
                .put("fall", 2_000)
                .put("drain_grace", DRAIN_GRACE);
    }

    private static void addProfiles(ArrayNode profiles, int readHardLimit) {
        profiles.addObject()
                .put("name", "read")
                .put("effect", "repeatable")
                .put("service_goal", 500)
                .put("hard_limit", readHardLimit)
                .put("revenue", 2);
        profiles.addObject()
                .put("name", "write")
                .put("effect", "once")
                .put("service_goal", 600)
                .put("hard_limit", MAX_DEADLINE)
                .put("revenue", 9);
    }
}
