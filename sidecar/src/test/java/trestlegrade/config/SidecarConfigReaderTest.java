package trestlegrade.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.json.JsonObject;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.policy.settings.PolicySettings.Idempotency;

/** Tests the values read from a configuration, and the error messages for invalid ones, which operators rely on. */
class SidecarConfigReaderTest {
    private static final String FILE = """
            {"name":"n","listen":"127.0.0.1:80","discovery":"127.0.0.1:1","seed":"ff","limits":{"sockets":64},
             "known":{"index":7,"endpoints":[]},
             "settings":{"azs":["a"],"zone":0,"n_instances":2,"my_number":1,"weights":"rough",
              "ceilings":{"keepalive":500,"dial_timeout":12.34},
              "tenants":[{"name":"t","allowance_per_s":30},{"name":"u"}],
              "profiles":[{"name":"p","effect":"once","service_goal":500,"hard_limit":1000}],
              "safety":{"cold_from":0.5,"cold":1000,"fall_multiple":3,"fall":1000,"drain_grace":250}}}""";

    private static SidecarConfig read(String text) {
        return SidecarConfigReader.of(new JsonObject(text), Map.of());
    }

    @Test
    void timesAreConvertedToTicksAndTheRateIsDividedByTheFleetSize() {
        SidecarConfig config = read(FILE);
        assertEquals(255, config.seed());
        assertEquals(7, config.initialVersion());
        assertEquals(5_000, config.idleTimeoutTicks());
        assertEquals(123, config.connectTimeoutTicks());
        assertEquals(2_500, config.drainGraceTicks());
        assertEquals(15, config.contractedRatePerSecond());
        assertEquals(1_000, config.longestDeadlineMillis());
        assertEquals(500, config.longestLatencyObjectiveMillis());
        assertEquals(0.5, config.policySettings().customers().get(1).share());
        assertEquals(
                Idempotency.NON_IDEMPOTENT,
                config.policySettings().profiles().get(0).idempotency());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"effect\":\"once\" | \"effect\":\"on\" | settings.profiles.0.effect"
                        + " | settings: setting profiles.0.effect: must be repeatable, by_key or once",
                "\"hard_limit\":1000 | \"x\":1 | settings.profiles.0.hard_limit"
                        + " | settings: setting profiles.0.hard_limit: missing",
                "\"cold\":1000 | \"cold\":\"soon\" | settings.safety.cold"
                        + " | settings: setting safety.cold: not a number: soon",
                "\"fall\":1000 | \"fall\":-1 | settings.safety.fall"
                        + " | settings: setting safety.fall: must be finite and non-negative: -1",
                "\"drain_grace\":250 | \"drain_grace\":\"no\" | safety.drain_grace"
                        + " | setting safety.drain_grace: not a number: no",
                "\"zone\":0 | \"zone\":1 | settings.zone"
                        + " | settings.zone: must be an index into settings.azs, which has size 1",
                "\"my_number\":1 | \"my_number\":2 | settings.my_number"
                        + " | settings.my_number: must be less than settings.n_instances",
                "\"name\":\"t\" | \"nom\":\"t\" | settings.tenants.0.name"
                        + " | settings.tenants.0.name: must be a string",
                "\"sockets\":64 | \"sockets\":63 | limits.sockets | limits.sockets: must be a number of at least 64",
                "\"index\":7 | \"index\":\"7\" | known.index | known.index: must be a number",
                "\"endpoints\":[] | \"endpoints\":1 | known.endpoints | known.endpoints: must be an array",
                "127.0.0.1:80 | 127.0.0.1 | listen | listen: must be host:port, not 127.0.0.1",
                "127.0.0.1:80 | a:65536 | listen | listen: must be host:port, not a:65536",
                "\"seed\":\"ff\" | \"seed\":\"gg\" | seed"
                        + " | seed: must be a hexadecimal number of at most 16 digits",
                "\"seed\":\"ff\" | \"x\":1 | seed | seed: must be a non-empty string",
                "\"limits\":{\"sockets\":64} | \"limits\":1 | limits | limits: must be an object",
            })
    void errorsNameTheKey(String from, String to, String keyPath, String message) {
        String text = FILE.replace(from, to);
        ConfigException error = assertThrows(ConfigException.class, () -> read(text));
        assertEquals(message, error.getMessage());
        assertEquals(keyPath, error.keyPath());
    }

    @Test
    void missingConfigPathNamesTheVariable() {
        ConfigException error = assertThrows(ConfigException.class, () -> SidecarConfigReader.read(Map.of()));
        assertEquals("LB_CONFIG: not set; must be the path of the configuration file", error.getMessage());
    }
}
