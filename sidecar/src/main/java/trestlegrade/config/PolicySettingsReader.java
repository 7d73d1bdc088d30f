package trestlegrade.config;

import java.util.ArrayList;
import java.util.List;
import trestlegrade.policy.settings.PolicySettings;
import trestlegrade.policy.settings.PolicySettings.Customer;
import trestlegrade.policy.settings.PolicySettings.DeduplicationScope;
import trestlegrade.policy.settings.PolicySettings.Idempotency;
import trestlegrade.policy.settings.PolicySettings.Profile;
import trestlegrade.policy.settings.PolicySettings.Weights;

/** Reads the {@link PolicySettings}; {@link SettingNames} documents the mapping of the settings. */
public final class PolicySettingsReader {
    private static final double DEFAULT_MAX_POLL_INTERVAL_MILLIS = 10_000;
    /** Avoids a division by zero if the weight of the whole goal is 0. */
    private static final double MIN_GOAL_WEIGHT = 1e-9;

    private final SettingValues values;

    PolicySettingsReader(SettingValues values) {
        this.values = values;
    }

    /** Returns a reader of settings that are given as lines of {@code path=value}. */
    public static PolicySettingsReader ofLines(String text) {
        return new PolicySettingsReader(SettingValues.ofLines(text));
    }

    /**
     * Reads the settings.
     *
     * @throws ConfigException if a required setting is missing or a value is invalid
     */
    public PolicySettings read() {
        return new PolicySettings(
                profiles(),
                customers(),
                (int) Math.max(1, values.number(SettingNames.FLEET_SIZE, 1.0)),
                (int) Math.max(1, values.number(SettingNames.MAX_ATTEMPTS, 1.0)),
                values.flag(SettingNames.CANCELLATION_ALLOWED),
                values.flag(SettingNames.RETRY_AFTER_ALLOWED),
                values.ticks(SettingNames.MAX_RETRY_AFTER, 0.0),
                values.text(SettingNames.LIST_DELIVERY, SettingNames.LIST_DELIVERY_PUSHED)
                        .equals(SettingNames.LIST_DELIVERY_ON_REQUEST),
                values.ticks(SettingNames.MAX_POLL_INTERVAL, DEFAULT_MAX_POLL_INTERVAL_MILLIS),
                weights(),
                values.flag(SettingNames.KEY_AFFINITY),
                (int) values.number(SettingNames.LOCAL_ZONE, 0.0),
                (int) values.number(SettingNames.SIDECAR_INDEX, 0.0),
                values.number(SettingNames.CROSS_ZONE_COST, 0.0),
                values.number(SettingNames.CONNECTION_COST, 0.0),
                worstProfileWeight(),
                values.number(SettingNames.SLOW_START_INITIAL_FRACTION, null),
                values.ticks(SettingNames.SLOW_START_DURATION, null),
                values.number(SettingNames.CRASH_MULTIPLE, null),
                values.ticks(SettingNames.CRASH_DURATION, null));
    }

    private List<Profile> profiles() {
        String countPath = SettingNames.count(SettingNames.PROFILES);
        int count = (int) values.number(countPath, null);
        if (count < 1) {
            throw ConfigException.ofSetting(countPath, "must be at least 1");
        }
        List<Profile> profiles = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            profiles.add(profile(i));
        }
        return profiles;
    }

    private Profile profile(int index) {
        Idempotency idempotency = idempotency(path(index, SettingNames.PROFILE_IDEMPOTENCY));
        boolean idempotentByKey = idempotency == Idempotency.IDEMPOTENT_BY_KEY;
        DeduplicationScope scope =
                deduplicationScope(path(index, SettingNames.PROFILE_DEDUPLICATION_SCOPE), idempotentByKey);
        return new Profile(
                values.ticks(path(index, SettingNames.PROFILE_LATENCY_OBJECTIVE), null),
                values.ticks(path(index, SettingNames.PROFILE_DEADLINE), null),
                values.number(path(index, SettingNames.PROFILE_PRIORITY_WEIGHT), 1.0),
                idempotency,
                scope,
                values.ticks(path(index, SettingNames.PROFILE_DEDUPLICATION_WINDOW), idempotentByKey ? null : 0.0));
    }

    private static String path(int profile, String field) {
        return SettingNames.element(SettingNames.PROFILES, profile, field);
    }

    private Idempotency idempotency(String path) {
        return switch (values.text(path, null)) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.IDEMPOTENT_BY_KEY;
            case "once" -> Idempotency.NON_IDEMPOTENT;
            default -> throw ConfigException.ofSetting(path, "must be repeatable, by_key or once");
        };
    }

    private DeduplicationScope deduplicationScope(String path, boolean required) {
        return switch (values.text(path, required ? null : "all")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw ConfigException.ofSetting(path, "must be all, zone or cell");
        };
    }

    private List<Customer> customers() {
        List<Customer> customers = new ArrayList<>();
        int count = (int) values.number(SettingNames.count(SettingNames.CUSTOMERS), 0.0);
        for (int i = 0; i < count; i++) {
            String path = SettingNames.element(SettingNames.CUSTOMERS, i, SettingNames.CUSTOMER_SHARE);
            customers.add(new Customer(values.number(path, 1.0 / count)));
        }
        return customers;
    }

    private Weights weights() {
        return switch (values.text(SettingNames.WEIGHTS, "off")) {
            case "off" -> Weights.NONE;
            case "nominal", "rough" -> Weights.SIZE;
            case "live" -> Weights.LIVE;
            default -> throw ConfigException.ofSetting(SettingNames.WEIGHTS, "must be off, nominal, rough or live");
        };
    }

    private double worstProfileWeight() {
        double worstProfileGoal = values.number(SettingNames.WORST_PROFILE_GOAL_WEIGHT, 0.0);
        double wholeGoal = values.number(SettingNames.WHOLE_GOAL_WEIGHT, 1.0);
        return Math.min(1, worstProfileGoal / Math.max(MIN_GOAL_WEIGHT, wholeGoal));
    }
}
