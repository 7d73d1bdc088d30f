package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.policy.PolicyHarness.SentAttempt;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.AttemptOutcome;

/** Ejection of endpoints that are silent or fail, and their half-open probes. */
class OutlierEjectionTest {

    /** An endpoint that falls silent, fails at once or accepts no connection is ejected early and reinstated later. */
    @ParameterizedTest
    @CsvSource({", 0, 60", "ERROR, 20, 60", "BROKEN, 20, 60", "NO_CONNECTION, 1200, 60"})
    void silentOrFailingEndpointIsEjectedEarlyAndReinstated(
            AttemptOutcome outcome, long durationTicks, int maxAttempts) {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.runTraffic(20_000, -1, null, 0);
        int attempts = harness.runTraffic(50_000, 103, outcome, durationTicks);
        assertTrue(harness.loadBalancer.endpoint(103).ejection().isEjected());
        assertTrue(attempts <= maxAttempts, "still got " + attempts + " of about 2500 attempts");
        for (SentAttempt each : List.copyOf(harness.sent)) {
            if (each.endpointId() == 103) {
                harness.endAttempt(each, AttemptOutcome.CANCELLED, 1);
            }
        }
        harness.runTraffic(100_000, 103, AttemptOutcome.COMMITTED, 200);
        assertFalse(harness.loadBalancer.endpoint(103).ejection().isEjected());
        int attemptsAfterwards = harness.runTraffic(20_000, 103, AttemptOutcome.COMMITTED, 200);
        assertTrue(attemptsAfterwards > 30, "only " + attemptsAfterwards + " of about 100 attempts");
    }

    /**
     * Probes of ejected endpoints use at most a small fraction of the transactions of a sidecar with little traffic.
     */
    @Test
    @SuppressWarnings("ReferenceEquality") // Identity shows whether another attempt was sent.
    void probesAreASmallFractionOfFirstAttempts() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        for (int i = 0; i < 600; i++) {
            harness.arrive(0);
            for (SentAttempt attempt = null; attempt != harness.lastAttempt(); ) {
                attempt = harness.lastAttempt();
                harness.advance(200);
                harness.endAttempt(
                        attempt, attempt.endpointId() < 104 ? AttemptOutcome.ERROR : AttemptOutcome.COMMITTED, 200);
            }
            harness.advance(4_400);
        }
        long probes = harness.sent.stream()
                .filter(s -> s.transactionId() > 300 && s.number() == 0 && s.endpointId() < 104)
                .count();
        assertTrue(probes > 0 && probes < 30, probes + " of 300 first attempts went to failing endpoints");
    }

    /** If most of the fleet falls silent, a third of it stays in use. */
    @Test
    void aThirdOfTheWeightIsNeverEjected() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        for (int i = 0; i < 400; i++) {
            harness.arrive(0);
            harness.advance(100);
        }
        long ejected = 0;
        for (long id = 100; id < 110; id++) {
            ejected += harness.loadBalancer.endpoint(id).ejection().isEjected() ? 1 : 0;
        }
        assertTrue(ejected > 0 && ejected <= 6, ejected + " ejected");
    }
}
