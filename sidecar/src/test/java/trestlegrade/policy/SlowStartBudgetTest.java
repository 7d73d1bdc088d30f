package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.policy.endpoint.EndpointUpdate.State;

/** Rule 4: a cold endpoint is not overloaded, and a cold fleet still serves requests. */
class SlowStartBudgetTest {

    /**
     * A cold endpoint among warm ones, under a burst of ten times the usual traffic, never gets more than this
     * sidecar's share of what the rule allows within its span. The warm endpoints served 50 attempts/s each.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void coldEndpointIsNotOverloaded(boolean restarted) {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.runTraffic(100_000, -1, null, 0);
        long id = restarted ? 104 : 200;
        harness.update(id, State.READY, harness.now);
        long start = harness.now;
        int before = harness.sent.size();
        for (int i = 0; i < 100; i++) {
            for (int j = 0; j < 50; j++) {
                harness.arrive(0);
            }
            harness.advance(100);
        }
        long attemptsAtCold = harness.sent.stream()
                .skip(before)
                .filter(s -> s.endpointId() == id)
                .count();
        assertEquals(start + 10_000, harness.now);
        assertTrue(attemptsAtCold >= 1 && attemptsAtCold <= 3 * 0.25 * 50, "sent " + attemptsAtCold);
    }

    @Test
    void coldFleetStillServes() {
        PolicyHarness harness = new PolicyHarness();
        harness.fleet(State.READY, harness.now);
        harness.advance(20_000);
        harness.runTraffic(10_000, -1, null, 0);
        assertFalse(harness.sent.isEmpty());
    }
}
