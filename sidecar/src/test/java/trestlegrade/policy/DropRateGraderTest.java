package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.policy.PolicyHarness.SentAttempt;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.AttemptOutcome;

/** The drop rate: which endpoints are graded down, how fast, and by which measurements. */
class DropRateGraderTest {

    /** Checks the outlier's drop rate after some time with attempts of the given outcome and duration. */
    @ParameterizedTest
    @CsvSource({
        "COMMITTED, 200, 5, 0,    0",
        "COMMITTED, 800, 5, 0.15, 0.3",
        "COMMITTED, 240, 5, 0,    0",
        "COMMITTED, 800, 40, 0.9, 1",
    })
    void slowEndpointIsGradedDownWithTimeAndOthersAreNot(
            AttemptOutcome outcome, long durationTicks, int seconds, double min, double max) {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        int attempts = harness.runTraffic(seconds * 10_000L, 103, outcome, durationTicks);
        double dropRate = harness.loadBalancer.endpoint(103).dropRate().value();
        assertTrue(dropRate >= min && dropRate <= max, "drop rate " + dropRate);
        assertTrue(attempts > 0);
    }

    /** The drop rate changes by at most 0.25 in 5 s in either direction, and one ring point always remains. */
    @Test
    void dropRateMovesSlowlyBothWaysAndKeepsOnePoint() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.runTraffic(50_000, 103, AttemptOutcome.COMMITTED, 800);
        assertTrue(harness.loadBalancer.endpoint(103).dropRate().value() <= 0.25 + 1e-9);
        harness.runTraffic(300_000, 103, AttemptOutcome.COMMITTED, 800);
        assertEquals(1, harness.loadBalancer.endpoint(103).dropRate().value());
        assertTrue(
                harness.runTraffic(100_000, 103, AttemptOutcome.COMMITTED, 800) > 0,
                "one ring point still gets attempts");
        harness.advance(360_000);
        assertEquals(0.5, harness.loadBalancer.endpoint(103).dropRate().value(), 0.3, "drop rate after few calls");
        harness.advance(150_000);
        assertEquals(0, harness.loadBalancer.endpoint(103).dropRate().value());
    }

    /** If all endpoints become slow at once, none is graded down. */
    @Test
    void noEndpointIsGradedDownWhenAllAreSlow() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.runTraffic(30_000, -1, null, 0);
        for (int i = 0; i < 300; i++) {
            harness.arrive(0);
            SentAttempt attempt = harness.lastAttempt();
            harness.advance(1_000);
            harness.endAttempt(attempt, AttemptOutcome.COMMITTED, 1_000);
        }
        for (long id = 100; id < 110; id++) {
            assertTrue(harness.loadBalancer.endpoint(id).dropRate().value() < 0.3);
            assertFalse(harness.loadBalancer.endpoint(id).ejection().isEjected());
        }
    }

    /**
     * A sidecar with little traffic grades the endpoints of a slow instance type down, although it has too few samples
     * from any single endpoint.
     */
    @Test
    void fewSamplesAreBlendedWithTheInstanceType() {
        PolicyHarness harness = new PolicyHarness();
        for (long id = 100; id < 110; id++) {
            harness.loadBalancer.onEndpointUpdates(
                    harness.now,
                    List.of(new EndpointUpdate(id, 0, id < 104 ? 1 : 0, 0, State.READY, 1, 0)),
                    false,
                    false);
        }
        for (int i = 0; i < 60; i++) {
            harness.arrive(0);
            SentAttempt attempt = harness.lastAttempt();
            long durationTicks = attempt.endpointId() < 104 ? 900 : 300;
            harness.advance(durationTicks);
            harness.endAttempt(attempt, AttemptOutcome.COMMITTED, durationTicks);
            harness.advance(5_000 - durationTicks);
        }
        for (long id = 100; id < 110; id++) {
            assertEquals(id < 104, harness.loadBalancer.endpoint(id).dropRate().value() > 0.3, "endpoint " + id);
        }
    }
}
