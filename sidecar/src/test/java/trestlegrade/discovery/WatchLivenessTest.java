package trestlegrade.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.discovery.WatchLiveness.State;

/**
 * In a network partition a watch stays open but receives nothing. One missing empty line makes it suspect, at a time
 * that differs between the sidecars of a fleet; two missing lines make it silent at all of them.
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
    void theTimeSinceTheLastDataDecides(long jitterTicks, long quietTicks, State expected) {
        WatchLiveness liveness = new WatchLiveness(1_000, jitterTicks);
        liveness.dataReceived(70_000);
        assertEquals(expected, liveness.state(70_000 + quietTicks));
    }
}
