package trestlegrade.config;

/**
 * The names of settings on the wire and in the configuration file: the only place that maps them to the terms of the
 * code. Parts of a path are joined by dots; times are milliseconds.
 *
 * <table>
 * <caption>Settings and what they become in {@link trestlegrade.policy.settings.PolicySettings}</caption>
 * <tr><th>setting</th><th>default</th><th>becomes</th></tr>
 * <tr><td>{@code n_instances}</td><td>1</td><td>fleetSize: size of the fleet</td></tr>
 * <tr><td>{@code my_number}</td><td>0</td><td>sidecarIndex: this sidecar's within the fleet</td></tr>
 * <tr><td>{@code azs}, {@code zone}</td><td>none, 0</td><td>zones; zone: the local zone's number</td></tr>
 * <tr><td>{@code flavors}</td><td>none</td><td>kinds of machine</td></tr>
 * <tr><td>{@code membership_mode}</td><td>{@code pushed}</td>
 *     <td>listPolled, if {@code on_request}: changes come by watch or poll alone</td></tr>
 * <tr><td>{@code weights}</td><td>{@code off}</td>
 *     <td>weights: NONE ({@code off}), SIZE ({@code nominal}, {@code rough}), LIVE ({@code live})</td></tr>
 * <tr><td>{@code ceilings.max_hops}</td><td>1</td><td>maxAttempts</td></tr>
 * <tr><td>{@code ceilings.cancelling}</td><td>false</td>
 *     <td>cancellationAllowed: attempts in flight may be cancelled</td></tr>
 * <tr><td>{@code ceilings.retry_after}</td><td>false</td>
 *     <td>retryAfterAllowed: rejections carry a Retry-After</td></tr>
 * <tr><td>{@code ceilings.max_retry_after}</td><td>0</td><td>maxRetryAfterTicks: longest Retry-After</td></tr>
 * <tr><td>{@code ceilings.keepalive}</td><td>10000</td><td>idle timeout of connections to endpoints</td></tr>
 * <tr><td>{@code ceilings.dial_timeout}</td><td>250</td><td>connect timeout</td></tr>
 * <tr><td>{@code safety.ask_within}</td><td>10000</td><td>maxPollIntervalTicks: longest time between polls</td></tr>
 * <tr><td>{@code safety.drain_grace}</td><td>0</td><td>drain grace of the endpoint list lease</td></tr>
 * <tr><td>{@code safety.cold_from}, {@code safety.cold}</td><td>required</td>
 *     <td>slowStartInitialFraction, slowStartTicks: least initial capacity and length of slow start</td></tr>
 * <tr><td>{@code safety.fall_multiple}, {@code safety.fall}</td><td>required</td>
 *     <td>crashMultiple, crashTicks: overload at which an endpoint in slow start crashes</td></tr>
 * <tr><td>{@code family_info.warm_keys}</td><td>false</td><td>keyAffinity: endpoints cache recent keys</td></tr>
 * <tr><td>{@code fees.cross_zone}</td><td>0</td><td>crossZoneCost: cost of cross-zone attempts</td></tr>
 * <tr><td>{@code fees.connection}</td><td>0</td><td>connectionCost: cost of open connections</td></tr>
 * <tr><td>{@code goal.worst_class}, {@code goal.whole}</td><td>0, 1</td>
 *     <td>worstProfileWeight: their quotient</td></tr>
 * <tr><td>{@code tenants[].share}</td><td>even parts</td><td>customers: share</td></tr>
 * <tr><td>{@code tenants[].allowance_per_s}</td><td>none</td><td>contracted rate, requests a second</td></tr>
 * <tr><td>{@code profiles[].service_goal}</td><td>required</td><td>latencyObjectiveTicks: latency objective</td></tr>
 * <tr><td>{@code profiles[].hard_limit}</td><td>required</td><td>deadline</td></tr>
 * <tr><td>{@code profiles[].revenue}</td><td>1</td><td>priorityWeight: worth of a request</td></tr>
 * <tr><td>{@code profiles[].effect}</td><td>required</td>
 *     <td>idempotency: IDEMPOTENT ({@code repeatable}), IDEMPOTENT_BY_KEY
 *     ({@code by_key}: idempotent by key), NON_IDEMPOTENT ({@code once})</td></tr>
 * <tr><td>{@code profiles[].group}</td><td>required if {@code by_key}</td>
 *     <td>deduplicationScope, ALL, ZONE or CELL</td></tr>
 * <tr><td>{@code profiles[].dedup_window}</td><td>required if {@code by_key}</td>
 *     <td>deduplicationWindowTicks: how long idempotency keys are kept</td></tr>
 * </table>
 *
 * <p>Keys that are not listed are ignored.
 */
final class SettingNames {
    static final String FLEET_SIZE = "n_instances";
    static final String SIDECAR_NUMBER = "my_number";
    static final String ZONES = "azs";
    static final String LOCAL_ZONE = "zone";
    static final String MACHINE_KINDS = "flavors";
    static final String LIST_DELIVERY = "membership_mode";
    static final String LIST_DELIVERY_ON_REQUEST = "on_request";
    static final String LIST_DELIVERY_PUSHED = "pushed";
    static final String WEIGHTS = "weights";

    static final String MAX_ATTEMPTS = "ceilings.max_hops";
    static final String CANCELLING = "ceilings.cancelling";
    static final String RETRY_AFTER = "ceilings.retry_after";
    static final String MAX_RETRY_AFTER = "ceilings.max_retry_after";
    static final String IDLE_TIMEOUT = "ceilings.keepalive";
    static final String CONNECT_TIMEOUT = "ceilings.dial_timeout";

    static final String MAX_POLL_INTERVAL = "safety.ask_within";
    static final String DRAIN_GRACE = "safety.drain_grace";
    static final String SLOW_START_INITIAL_FRACTION = "safety.cold_from";
    static final String SLOW_START_DURATION = "safety.cold";
    static final String CRASH_MULTIPLE = "safety.fall_multiple";
    static final String CRASH_SPAN = "safety.fall";

    static final String WARM_KEYS = "family_info.warm_keys";
    static final String CROSS_ZONE_FEE = "fees.cross_zone";
    static final String CONNECTION_FEE = "fees.connection";
    static final String GOAL_WORST_PROFILE = "goal.worst_class";
    static final String GOAL_WHOLE = "goal.whole";

    static final String CUSTOMERS = "tenants";
    static final String CUSTOMER_SHARE = "share";
    static final String CUSTOMER_CONTRACTED_RATE = "allowance_per_s";

    static final String PROFILES = "profiles";
    static final String PROFILE_LATENCY_OBJECTIVE = "service_goal";
    static final String PROFILE_DEADLINE = "hard_limit";
    static final String PROFILE_REVENUE = "revenue";
    static final String PROFILE_IDEMPOTENCY = "effect";
    static final String PROFILE_DEDUPLICATION_SCOPE = "group";
    static final String PROFILE_DEDUPLICATION_WINDOW = "dedup_window";

    /** Follows the path of a list, for its length. */
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
