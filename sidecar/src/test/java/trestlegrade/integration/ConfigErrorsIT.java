package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program exits at startup if its configuration is invalid. */
class ConfigErrorsIT extends SidecarFixture {
    /**
     * A key of the file is invalid or missing. The program exits with a status other than 0, and its log names the key.
     */
    @ParameterizedTest
    @CsvSource({
        "listen, 'nowhere', listen", "discovery, '127.0.0.1:0', discovery", "seed, 'xyz', seed", "name, '', name",
        "settings, , settings", "limits, , limits", "known, , known", "known, '{}', known"
    })
    void invalidConfigurationEndsTheProgramNamingTheKey(String key, String value, String named) throws Exception {
        endpoint(r -> HANG);
        JsonObject file = configuration();
        if (value == null) {
            file.remove(key);
        } else {
            file.put(key, value);
        }
        assertExitsNaming(file.encode(), named);
    }

    /** The same for the keys of the settings, which the log names by their path. */
    @ParameterizedTest
    @CsvSource({
        "profiles.0.effect, sometimes",
        "profiles.0.hard_limit, -1",
        "profiles, ",
        "safety.cold_from, x",
        "ceilings.keepalive, never",
        "n_instances, many",
        "profiles.1.name, ",
        "my_number, 3",
        "zone, 2",
        "weights, heavy",
        "fees.cross_zone, -1",
        "fees.connection, x",
        "goal.worst_class, x"
    })
    void invalidSettingEndsTheProgramNamingItsPath(String path, String value) throws Exception {
        endpoint(r -> HANG);
        JsonObject file = configuration();
        JsonObject parent = file.getJsonObject("settings");
        String[] segments = path.split("\\.");
        for (int i = 0; i < segments.length - 1; i++) {
            if (!parent.containsKey(segments[i])) {
                parent.put(segments[i], new JsonObject());
            }
            parent = parent.getValue(segments[i]) instanceof JsonArray array
                    ? array.getJsonObject(Integer.parseInt(segments[++i]))
                    : parent.getJsonObject(segments[i]);
        }
        parent.put(segments[segments.length - 1], value == null ? new JsonArray() : value);
        assertExitsNaming(file.encode(), path);
    }

    /** The file is empty, truncated, or not an object. */
    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{\"name\":", "{}"})
    void malformedFileEndsTheProgram(String text) throws Exception {
        assertExitsNaming(text, text.equals("{}") ? "settings" : "LB_CONFIG");
    }

    /** Another process listens on the address. A sidecar that kept running would look alive and serve no client. */
    @Test
    void addressInUseEndsTheProgram() throws Exception {
        endpoint(r -> HANG);
        JsonObject file = configuration();
        assertExitsNaming(
                file.put("listen", "127.0.0.1:" + endpoints.get(0).port()).encode(), "listen-failed");
    }

    private void assertExitsNaming(String file, String named) throws Exception {
        start(file);
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertNotEquals(0, process.exitValue());
        String log = Files.readString(dir.resolve("log"));
        assertTrue(log.contains(named) && !log.contains("\tat "), log);
    }
}
