package trestlegrade.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trestlegrade.policy.settings.PolicySettings;
import trestlegrade.policy.settings.PolicySettings.Customer;
import trestlegrade.policy.settings.PolicySettings.Group;
import trestlegrade.policy.settings.PolicySettings.Profile;
import trestlegrade.policy.settings.PolicySettings.Repeat;
import trestlegrade.policy.settings.PolicySettings.Weights;

/** Reads terms from the settings handed over at a start, as values by path: {@code profiles.0.effect}. */
public final class PolicySettingsReader {
    private final Map<String, String> values;

    public PolicySettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Of settings written as path=value lines. */
    public static PolicySettingsReader ofLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int at = line.indexOf('=');
            if (at > 0) {
                values.put(line.substring(0, at).strip(), line.substring(at + 1).strip());
            }
        }
        return new PolicySettingsReader(values);
    }

    public PolicySettings terms() {
        List<Profile> profiles = new ArrayList<>();
        int count = (int) number("profiles.count", null);
        if (count < 1) {
            throw bad("profiles.count", "no profiles");
        }
        for (int i = 0; i < count; i++) {
            profiles.add(profile("profiles." + i + "."));
        }
        List<Customer> customers = new ArrayList<>();
        int tenants = (int) number("tenants.count", 0.0);
        for (int i = 0; i < tenants; i++) {
            customers.add(new Customer(number("tenants." + i + ".share", 1.0 / tenants)));
        }
        return new PolicySettings(
                profiles,
                customers,
                (int) Math.max(1, number("n_instances", 1.0)),
                (int) Math.max(1, number("ceilings.max_hops", 1.0)),
                flag("ceilings.cancelling"),
                flag("ceilings.retry_after"),
                time("ceilings.max_retry_after", 0.0),
                choice("membership_mode", "pushed").equals("on_request"),
                time("safety.ask_within", 10_000.0),
                weights(),
                flag("family_info.warm_keys"),
                (int) number("zone", 0.0),
                (int) number("my_number", 0.0),
                number("fees.cross_zone", 0.0),
                number("fees.connection", 0.0),
                Math.min(1, number("goal.worst_class", 0.0) / Math.max(1e-9, number("goal.whole", 1.0))),
                number("safety.cold_from", null),
                time("safety.cold", null),
                number("safety.fall_multiple", null),
                time("safety.fall", null));
    }

    private Weights weights() {
        return switch (choice("weights", "off")) {
            case "off" -> Weights.NONE;
            case "nominal", "rough" -> Weights.SIZE;
            case "live" -> Weights.LIVE;
            default -> throw bad("weights", "unknown value");
        };
    }

    private Profile profile(String at) {
        Repeat repeat = switch (choice(at + "effect", null)) {
            case "repeatable" -> Repeat.IDEMPOTENT;
            case "by_key" -> Repeat.JOURNALLED;
            case "once" -> Repeat.NON_IDEMPOTENT;
            default -> throw bad(at + "effect", "unknown value");
        };
        boolean journalled = repeat == Repeat.JOURNALLED;
        Group group = switch (choice(at + "group", journalled ? null : "all")) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> throw bad(at + "group", "unknown value");
        };
        return new Profile(
                time(at + "service_goal", null),
                time(at + "hard_limit", null),
                number(at + "revenue", 1.0),
                repeat,
                group,
                time(at + "dedup_window", journalled ? null : 0.0));
    }

    private double number(String key, Double otherwise) {
        String text = values.get(key);
        if (text == null || text.isEmpty()) {
            if (otherwise == null) {
                throw bad(key, "missing");
            }
            return otherwise;
        }
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw bad(key, "not a number: " + text);
        }
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw bad(key, "must be finite and not negative: " + text);
        }
        return value;
    }

    /** A time in milliseconds as whole tenths. */
    public long time(String key, Double otherwise) {
        return Math.round(number(key, otherwise) * 10);
    }

    private boolean flag(String key) {
        return choice(key, "false").equals("true");
    }

    private String choice(String key, String otherwise) {
        String text = values.getOrDefault(key, otherwise);
        if (text == null) {
            throw bad(key, "missing");
        }
        return text;
    }

    private static IllegalArgumentException bad(String key, String why) {
        return new IllegalArgumentException("setting " + key + ": " + why);
    }
}
