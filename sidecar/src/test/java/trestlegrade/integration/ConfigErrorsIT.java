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

/** Configurations that cannot be used end the program at its start. */
class ConfigErrorsIT extends SidecarFixture {
    /**
     * A key of the file is wrong or missing. The program ends with a status other than 0, and its log names the key.
     */
    @ParameterizedTest
    @CsvSource({
        "listen, 'nowhere', listen", "discovery, '127.0.0.1:0', discovery", "seed, 'xyz', seed", "name, '', name",
        "settings, , settings", "limits, , limits", "known, , known", "known, '{}', known"
    })
    void badConfigurationEndsTheProgramNamingTheKey(String key, String value, String named) throws Exception {
        endpoint(r -> HANG);
        JsonObject file = configuration();
        if (value == null) {
            file.remove(key);
        } else {
            file.put(key, value);
        }
        refused(file.encode(), named);
    }

    /** As above, for the keys of the settings, by their path. */
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
    void badSettingsEndTheProgramNamingTheKey(String path, String value) throws Exception {
        endpoint(r -> HANG);
        JsonObject file = configuration();
        JsonObject at = file.getJsonObject("settings");
        String[] steps = path.split("\\.");
        for (int i = 0; i < steps.length - 1; i++) {
            if (!at.containsKey(steps[i])) {
                at.put(steps[i], new JsonObject());
            }
            at = at.getValue(steps[i]) instanceof JsonArray array
                    ? array.getJsonObject(Integer.parseInt(steps[++i]))
                    : at.getJsonObject(steps[i]);
        }
        at.put(steps[steps.length - 1], value == null ? new JsonArray() : value);
        refused(file.encode(), path);
    }

    /** The file is empty, cut, or no object. */
    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{\"name\":", "{}"})
    void fileThatIsNoConfigurationEndsTheProgram(String text) throws Exception {
        refused(text, text.equals("{}") ? "settings" : "LB_CONFIG");
    }

    /** Another process listens at the address. A sidecar that went on would look alive and serve nobody. */
    @Test
    void addressInUseEndsTheProgram() throws Exception {
        endpoint(r -> HANG);
        JsonObject file = configuration();
        refused(file.put("listen", "127.0.0.1:" + endpoints.get(0).port()).encode(), "listen-failed");
    }

    private void refused(String file, String named) throws Exception {
        start(file);
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertNotEquals(0, process.exitValue());
        String log = Files.readString(dir.resolve("log"));
        assertTrue(log.contains(named) && !log.contains("\tat "), log);
    }
}
