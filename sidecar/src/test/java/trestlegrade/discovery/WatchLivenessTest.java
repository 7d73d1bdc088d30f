package trestlegrade.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.discovery.WatchLiveness.State;

/**
 * A watch whose network is cut stays open and says nothing. One missing empty line makes it suspect, a little later for
 * some sidecars of the fleet than for others; two make it silent for all.
 */
class WatchLivenessTest {

    @ParameterizedTest
    @CsvSource({
        "0, 25000, LIVE",
        "0, 25001, SUSPECT",
        "8000, 33000, LIVE",
        "8000, 33001, SUSPECT",
        "8000, 45000, SUSPECT",
        "8000, 45001, SILENT"
    })
    void theTimeSinceItWasHeardDecides(long jitterTicks, long quietTicks, State expected) {
        WatchLiveness liveness = new WatchLiveness(1_000, jitterTicks);
        liveness.heard(70_000);
        assertEquals(expected, liveness.state(70_000 + quietTicks));
    }
}
