package trestlegrade.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;

/**
 * Setting values as strings by path, with typed access. A list is represented by the paths of its elements and of its
 * length ({@code profiles.0.effect}, {@code profiles.count}). A default value of null makes a setting required.
 */
final class SettingValues {
    private static final int TICKS_PER_MILLISECOND = 10;

    private final Map<String, String> textByPath;

    private SettingValues(Map<String, String> textByPath) {
        this.textByPath = textByPath;
    }

    /** Reads settings that are given as lines of {@code path=value}; other lines are ignored. */
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

    /** Reads settings that are given as a JSON object. */
    static SettingValues ofJson(JsonObject settings) {
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        return new SettingValues(values);
    }

    private static void flatten(String path, Object value, Map<String, String> result) {
        if (value instanceof JsonObject object) {
            for (Map.Entry<String, Object> each : object) {
                flatten(path.isEmpty() ? each.getKey() : path + "." + each.getKey(), each.getValue(), result);
            }
        } else if (value instanceof JsonArray array) {
            result.put(SettingNames.count(path), Integer.toString(array.size()));
            for (int i = 0; i < array.size(); i++) {
                flatten(path + "." + i, array.getValue(i), result);
            }
        } else if (value != null) {
            result.put(path, value.toString());
        }
    }

    /**
     * Returns a finite, non-negative number.
     *
     * @throws ConfigException if the value is no such number, or if it is missing and required
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
            throw ConfigException.ofSetting(path, "must be finite and non-negative: " + text);
        }
        return value;
    }

    /**
     * Returns a duration in whole ticks (tenths of a millisecond); the setting and the default value are milliseconds.
     *
     * @throws ConfigException under the same conditions as {@link #number}
     */
    long ticks(String path, Double defaultMillis) {
        return Math.round(number(path, defaultMillis) * TICKS_PER_MILLISECOND);
    }

    /** Returns whether the setting is {@code true}; any other value, or none, counts as false. */
    boolean flag(String path) {
        return text(path, "false").equals("true");
    }

    /**
     * Returns a string.
     *
     * @throws ConfigException if the value is missing and required
     */
    String text(String path, String defaultValue) {
        String text = textByPath.getOrDefault(path, defaultValue);
        if (text == null) {
            throw ConfigException.ofSetting(path, "missing");
        }
        return text;
    }
}
