package trestlegrade.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;

/**
 * Settings as texts by path, with typed access; a list stands as the paths of its elements and of its length
 * ({@code profiles.0.effect}, {@code profiles.count}). A default of null makes a setting required.
 */
final class SettingValues {
    private static final int TICKS_PER_MILLISECOND = 10;

    private final Map<String, String> textByPath;

    private SettingValues(Map<String, String> textByPath) {
        this.textByPath = textByPath;
    }

    /** Reads settings written as lines of {@code path=value}; other lines are ignored. */
    static SettingValues ofLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(
                        line.substring(0, equals).strip(),
                        line.substring(equals + 1).strip());
            }
        }
        return new SettingValues(values);
    }

    /** Reads settings written as a JSON object. */
    static SettingValues ofJson(JsonObject settings) {
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        return new SettingValues(values);
    }

    private static void flatten(String path, Object value, Map<String, String> into) {
        if (value instanceof JsonObject object) {
            for (Map.Entry<String, Object> each : object) {
                flatten(path.isEmpty() ? each.getKey() : path + "." + each.getKey(), each.getValue(), into);
            }
        } else if (value instanceof JsonArray array) {
            into.put(SettingNames.count(path), Integer.toString(array.size()));
            for (int i = 0; i < array.size(); i++) {
                flatten(path + "." + i, array.getValue(i), into);
            }
        } else if (value != null) {
            into.put(path, value.toString());
        }
    }

    /**
     * Returns a number, finite and not negative.
     *
     * @throws ConfigException if it is none, or is missing and required
     */
    double number(String path, Double defaultValue) {
        String text = textByPath.get(path);
        if (text == null || text.isEmpty()) {
            if (defaultValue == null) {
                throw ConfigException.ofSetting(path, "missing");
            }
            return defaultValue;
        }
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw ConfigException.ofSetting(path, "not a number: " + text);
        }
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw ConfigException.ofSetting(path, "must be finite and not negative: " + text);
        }
        return value;
    }

    /**
     * Returns a time as whole ticks (tenths of a millisecond); the setting and the default are milliseconds.
     *
     * @throws ConfigException as {@link #number}
     */
    long ticks(String path, Double defaultMillis) {
        return Math.round(number(path, defaultMillis) * TICKS_PER_MILLISECOND);
    }

    /** Returns true if the setting is {@code true}. */
    boolean flag(String path) {
        return text(path, "false").equals("true");
    }

    /**
     * Returns a text.
     *
     * @throws ConfigException if it is missing and required
     */
    String text(String path, String defaultValue) {
        String text = textByPath.getOrDefault(path, defaultValue);
        if (text == null) {
            throw ConfigException.ofSetting(path, "missing");
        }
        return text;
    }
}
