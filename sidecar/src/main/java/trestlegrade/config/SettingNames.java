package trestlegrade.config;

/**
 * The external names of settings, as used by the simulator and in the configuration file, and their mapping to the
 * terms of the code. No other class maps them. Parts of a path are joined by dots; times are milliseconds.
 *
 * <table>
 * <caption>Settings and their meaning in {@link trestlegrade.policy.settings.PolicySettings}</caption>
 * <tr><th>setting</th><th>default</th><th>meaning</th></tr>
 * <tr><td>{@code n_instances}</td><td>1</td><td>fleetSize: size of the fleet</td></tr>
 * <tr><td>{@code my_number}</td><td>0</td><td>sidecarIndex: number of this sidecar within the fleet</td></tr>
 * <tr><td>{@code azs}, {@code zone}</td><td>none, 0</td>
 *     <td>names of the zones; zone: number of the local zone</td></tr>
 * <tr><td>{@code flavors}</td><td>none</td><td>names of the instance types</td></tr>
 * <tr><td>{@code membership_mode}</td><td>{@code pushed}</td>
 *     <td>listPolled, if {@code on_request}: changes arrive only by watch or poll</td></tr>
 * <tr><td>{@code weights}</td><td>{@code off}</td>
 *     <td>weights: NONE ({@code off}), SIZE ({@code nominal}, {@code rough}), LIVE ({@code live})</td></tr>
 * <tr><td>{@code ceilings.max_hops}</td><td>1</td><td>maxAttempts: attempts for each transaction</td></tr>
 * <tr><td>{@code ceilings.cancelling}</td><td>false</td>
 *     <td>cancellationAllowed: attempts in flight may be cancelled</td></tr>
 * <tr><td>{@code ceilings.retry_after}</td><td>false</td>
 *     <td>retryAfterAllowed: rejections may carry a Retry-After</td></tr>
 * <tr><td>{@code ceilings.max_retry_after}</td><td>0</td><td>maxRetryAfterTicks: longest Retry-After</td></tr>
 * <tr><td>{@code ceilings.keepalive}</td><td>10000</td><td>idle timeout of connections to endpoints</td></tr>
 * <tr><td>{@code ceilings.dial_timeout}</td><td>250</td><td>connect timeout</td></tr>
 * <tr><td>{@code safety.ask_within}</td><td>10000</td><td>maxPollIntervalTicks: longest time between polls</td></tr>
 * <tr><td>{@code safety.drain_grace}</td><td>0</td><td>drain grace of the endpoint list lease</td></tr>
 * <tr><td>{@code safety.cold_from}, {@code safety.cold}</td><td>required</td>
 *     <td>slowStartInitialFraction, slowStartTicks: minimum initial capacity and duration of slow start</td></tr>
 * <tr><td>{@code safety.fall_multiple}, {@code safety.fall}</td><td>required</td>
 *     <td>crashMultiple, crashTicks: overload at which an endpoint in slow start crashes</td></tr>
 * <tr><td>{@code family_info.warm_keys}</td><td>false</td><td>keyAffinity: endpoints cache recent keys</td></tr>
 * <tr><td>{@code fees.cross_zone}</td><td>0</td><td>crossZoneCost: cost of cross-zone attempts</td></tr>
 * <tr><td>{@code fees.connection}</td><td>0</td><td>connectionCost: cost of open connections</td></tr>
 * <tr><td>{@code goal.worst_class}, {@code goal.whole}</td><td>0, 1</td>
 *     <td>worstProfileWeight: their ratio</td></tr>
 * <tr><td>{@code tenants[].share}</td><td>equal shares</td><td>customers: share</td></tr>
 * <tr><td>{@code tenants[].allowance_per_s}</td><td>none</td><td>contracted rate, requests per second</td></tr>
 * <tr><td>{@code profiles[].service_goal}</td><td>required</td><td>latencyObjectiveTicks: latency objective</td></tr>
 * <tr><td>{@code profiles[].hard_limit}</td><td>required</td><td>deadline</td></tr>
 * <tr><td>{@code profiles[].revenue}</td><td>1</td><td>priorityWeight: revenue of a served request</td></tr>
 * <tr><td>{@code profiles[].effect}</td><td>required</td>
 *     <td>idempotency: IDEMPOTENT ({@code repeatable}), IDEMPOTENT_BY_KEY
 *     ({@code by_key}), NON_IDEMPOTENT ({@code once})</td></tr>
 * <tr><td>{@code profiles[].group}</td><td>required if {@code by_key}</td>
 *     <td>deduplicationScope: ALL, ZONE or CELL</td></tr>
 * <tr><td>{@code profiles[].dedup_window}</td><td>required if {@code by_key}</td>
 *     <td>deduplicationWindowTicks: how long idempotency keys are kept</td></tr>
 * </table>
 *
 * <p>Keys that are not listed are ignored.
 */
final class SettingNames {
    static final String FLEET_SIZE = "n_instances";
    static final String SIDECAR_INDEX = "my_number";
    static final String ZONES = "azs";
    static final String LOCAL_ZONE = "zone";
    static final String MACHINE_KINDS = "flavors";
    static final String LIST_DELIVERY = "membership_mode";
    static final String LIST_DELIVERY_ON_REQUEST = "on_request";
    static final String LIST_DELIVERY_PUSHED = "pushed";
    static final String WEIGHTS = "weights";

    static final String MAX_ATTEMPTS = "ceilings.max_hops";
    static final String CANCELLATION_ALLOWED = "ceilings.cancelling";
    static final String RETRY_AFTER_ALLOWED = "ceilings.retry_after";
    static final String MAX_RETRY_AFTER = "ceilings.max_retry_after";
    static final String IDLE_TIMEOUT = "ceilings.keepalive";
    static final String CONNECT_TIMEOUT = "ceilings.dial_timeout";

    static final String MAX_POLL_INTERVAL = "safety.ask_within";
    static final String DRAIN_GRACE = "safety.drain_grace";
    static final String SLOW_START_INITIAL_FRACTION = "safety.cold_from";
    static final String SLOW_START_DURATION = "safety.cold";
    static final String CRASH_MULTIPLE = "safety.fall_multiple";
    static final String CRASH_DURATION = "safety.fall";

    static final String KEY_AFFINITY = "family_info.warm_keys";
    static final String CROSS_ZONE_COST = "fees.cross_zone";
    static final String CONNECTION_COST = "fees.connection";
    static final String WORST_PROFILE_GOAL_WEIGHT = "goal.worst_class";
    static final String WHOLE_GOAL_WEIGHT = "goal.whole";

    static final String CUSTOMERS = "tenants";
    static final String CUSTOMER_SHARE = "share";
    static final String CUSTOMER_CONTRACTED_RATE = "allowance_per_s";

    static final String PROFILES = "profiles";
    static final String PROFILE_LATENCY_OBJECTIVE = "service_goal";
    static final String PROFILE_DEADLINE = "hard_limit";
    static final String PROFILE_PRIORITY_WEIGHT = "revenue";
    static final String PROFILE_IDEMPOTENCY = "effect";
    static final String PROFILE_DEDUPLICATION_SCOPE = "group";
    static final String PROFILE_DEDUPLICATION_WINDOW = "dedup_window";

    /** Last part of the path of a list's length. */
    static final String COUNT = "count";

    private SettingNames() {}

    /** Returns the path of a list's length. */
    static String count(String list) {
        return list + "." + COUNT;
    }

    /** Returns the path of a field of one element of a list. */
    static String element(String list, int index, String field) {
        return list + "." + index + "." + field;
    }
}
