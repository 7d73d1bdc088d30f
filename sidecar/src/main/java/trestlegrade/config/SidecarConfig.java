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
 * @param name of this sidecar, in the log
 * @param listen address on which the application is served
 * @param discovery address of the endpoint list's source
 * @param seed of all random numbers
 * @param maxSockets file descriptors that this process may use for sockets
 * @param initialVersion of the initial endpoint list
 * @param initialEntries entries of the initial endpoint list, as discovery writes them
 * @param policySettings settings of the decisions
 * @param profiles names of the classes of request, by number
 * @param customers names of the customers, by number
 * @param zones names of the zones, by number
 * @param kinds names of the kinds of machine, by number
 * @param idleTimeoutTicks time after which endpoints close an idle connection
 * @param connectTimeoutTicks connect timeout
 * @param contractedRatePerSecond requests a second that the customers may send to this sidecar by contract; infinite if
 *     unknown
 * @param drainGraceTicks how long a draining endpoint may be sent to
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

    /** Returns the longest deadline of a profile in milliseconds, which bounds the life of any transaction. */
    public long longestDeadlineMillis() {
        return policySettings.profiles().stream()
                        .mapToLong(PolicySettings.Profile::deadlineTicks)
                        .max()
                        .orElse(0)
                / TICKS_PER_MILLISECOND;
    }

    /** Returns the longest latency objective of a profile, in milliseconds. */
    public long longestLatencyObjectiveMillis() {
        return policySettings.profiles().stream()
                        .mapToLong(PolicySettings.Profile::latencyObjectiveTicks)
                        .max()
                        .orElse(0)
                / TICKS_PER_MILLISECOND;
    }

    /** Returns the keys that differ in another configuration and that hold until the process ends. */
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

    /** Returns whether all that a reload may change is the same in another configuration, but for the addresses. */
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
