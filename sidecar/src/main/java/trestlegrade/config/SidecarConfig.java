package trestlegrade.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Configuration of one sidecar: its identity, its addresses and limits, and the settings that a reload may change.
 * Times are ticks (tenths of a millisecond) unless the name says otherwise.
 *
 * @param name name of this sidecar in the log
 * @param listen address on which clients connect
 * @param discovery address from which the endpoint list is obtained
 * @param seed seed of all random numbers
 * @param maxSockets file descriptors that this process may use for sockets
 * @param initialVersion version of the initial endpoint list
 * @param initialEntries entries of the initial endpoint list, in the format of discovery
 * @param policySettings settings of the load-balancing policy
 * @param profiles names of the request classes, by number
 * @param customers names of the customers, by number
 * @param zones names of the zones, by number
 * @param kinds names of the instance types, by number
 * @param idleTimeoutTicks time after which endpoints close an idle connection
 * @param connectTimeoutTicks connect timeout
 * @param contractedRatePerSecond requests per second that all customers together may send to this sidecar by contract;
 *     infinite if unknown
 * @param drainGraceTicks how long requests may still be sent to a draining endpoint
 */
public record SidecarConfig(
        String name,
        SocketAddress listen,
        SocketAddress discovery,
        long seed,
        int maxSockets,
        long initialVersion,
        JsonArray initialEntries,
        PolicySettings policySettings,
        List<String> profiles,
        List<String> customers,
        List<String> zones,
        List<String> kinds,
        long idleTimeoutTicks,
        long connectTimeoutTicks,
        double contractedRatePerSecond,
        long drainGraceTicks) {
    private static final int TICKS_PER_MILLISECOND = 10;

    /** Returns the longest deadline of any profile in milliseconds, which bounds the lifetime of a transaction. */
    public long longestDeadlineMillis() {
        return policySettings.profiles().stream()
                        .mapToLong(PolicySettings.Profile::deadlineTicks)
                        .max()
                        .orElse(0)
                / TICKS_PER_MILLISECOND;
    }

    /** Returns the longest latency objective of any profile in milliseconds. */
    public long longestLatencyObjectiveMillis() {
        return policySettings.profiles().stream()
                        .mapToLong(PolicySettings.Profile::latencyObjectiveTicks)
                        .max()
                        .orElse(0)
                / TICKS_PER_MILLISECOND;
    }

    /** Returns the keys whose values differ in another configuration and take effect only after a restart. */
    public List<String> keysRequiringRestart(SidecarConfig other) {
        List<String> keys = new ArrayList<>();
        if (!name.equals(other.name)) {
            keys.add("name");
        }
        if (!listen.equals(other.listen)) {
            keys.add("listen");
        }
        if (maxSockets != other.maxSockets) {
            keys.add("limits");
        }
        return keys;
    }

    /** Returns whether all values that a reload may change, except addresses, are equal in another configuration. */
    public boolean sameSettings(SidecarConfig other) {
        return policySettings.equals(other.policySettings)
                && profiles.equals(other.profiles)
                && customers.equals(other.customers)
                && zones.equals(other.zones)
                && kinds.equals(other.kinds)
                && idleTimeoutTicks == other.idleTimeoutTicks
                && connectTimeoutTicks == other.connectTimeoutTicks
                && drainGraceTicks == other.drainGraceTicks;
    }
}
