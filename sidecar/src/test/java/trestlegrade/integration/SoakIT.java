package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.lab.soak.Soak;

/** Short runs of the soak test; long runs are started manually (docs/soak.md). */
@Isolated("starts several processes at once")
@Timeout(120)
class SoakIT {
    private static final int MILLISECONDS = 20_000;
    private static final int SIDECARS = 3;
    private static final int SERVERS = 6;

    @ParameterizedTest
    @ValueSource(longs = {11, 22, 30})
    void noRuleIsBroken(long seed) throws Exception {
        Soak.Result result = Soak.run(seed, MILLISECONDS, SIDECARS, SERVERS, Path.of(""));
        assertEquals(List.of(), result.violations());
        assertTrue(result.served() > 100, result.served() + " served");
    }
}
