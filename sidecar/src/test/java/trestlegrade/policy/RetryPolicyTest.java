package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.policy.PolicyHarness.FinalResponse;
import trestlegrade.policy.PolicyHarness.SentAttempt;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.settings.PolicySettings.DeduplicationScope;

/** Rule 2: what may be sent again, and what the client may be notified of. */
class RetryPolicyTest {

    /**
     * After the first attempt has ended with the outcome, the transaction is resent to any endpoint, resent within the
     * deduplication scope, or abandoned.
     */
    @ParameterizedTest
    @CsvSource({
        "0, CELL, ERROR,         resent",
        "0, CELL, NO_CONNECTION, resent",
        "0, CELL, REJECTED,   resent",
        "0, CELL, BROKEN,        resent",
        "1, CELL, ERROR,         resent in scope",
        "1, ZONE, BROKEN,        resent in scope",
        "1, ALL,  BROKEN,        resent",
        "1, CELL, NO_CONNECTION, resent",
        "2, CELL, ERROR,         abandoned",
        "2, ALL,  BROKEN,        abandoned",
        "2, CELL, TIMED_OUT,     abandoned",
        "2, CELL, CANCELLED,    abandoned",
        "2, CELL, NO_CONNECTION, resent",
        "2, CELL, NOT_SENT,      resent",
    })
    void retryGoesOnlyWhereTheProfileAllows(
            int profile, DeduplicationScope scope, AttemptOutcome outcome, String expected) {
        for (int round = 0; round < 20; round++) {
            PolicyHarness harness = new PolicyHarness(scope, 3).fleet(State.READY, 0);
            long id = harness.arrive(profile);
            SentAttempt first = harness.lastAttempt();
            harness.now += 100;
            harness.endAttempt(first, outcome, 100);
            if (expected.equals("abandoned")) {
                assertEquals(List.of(FinalResponse.abandoned(id)), harness.finalResponses);
                assertEquals(1, harness.sent.size());
                continue;
            }
            assertEquals(2, harness.sent.size());
            assertEquals(List.of(), harness.finalResponses);
            if (expected.equals("resent in scope")) {
                long second = harness.lastAttempt().endpointId();
                assertTrue(
                        scope == DeduplicationScope.CELL
                                ? (first.endpointId() - 100) / 2 == (second - 100) / 2
                                : first.endpointId() % 2 == second % 2);
            }
        }
    }

    /**
     * A transaction that is idempotent by key and may have been executed is neither resent after its deduplication
     * window nor rolled back.
     */
    @Test
    void windowCountsFromTheFirstAttemptThatMayHaveRun() {
        PolicyHarness harness = new PolicyHarness(DeduplicationScope.CELL, 3).fleet(State.READY, 0);
        harness.loadBalancer.onArrival(harness.now, 9, 1, 0, 0, 100_000, 0);
        harness.now += 19_500;
        harness.endAttempt(harness.lastAttempt(), AttemptOutcome.BROKEN, 19_500);
        assertEquals(1, harness.sent.size());
        assertEquals(List.of(FinalResponse.abandoned(9)), harness.finalResponses);
    }

    /**
     * An attempt at an ejected endpoint is cancelled, and the retry follows only when that attempt has ended, so that
     * two attempts are never in flight at once.
     */
    @ParameterizedTest
    @CsvSource({"0, true, 2", "1, true, 2", "2, true, 1", "0, false, 1"})
    void attemptAtEjectedEndpointIsCancelledBeforeItsRetry(int profile, boolean cancelling, int attempts) {
        PolicyHarness harness =
                new PolicyHarness(DeduplicationScope.ALL, 3, "ceilings.cancelling=" + cancelling).fleet(State.READY, 0);
        harness.runTraffic(20_000, -1, null, 0);
        List.copyOf(harness.sent).forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.COMMITTED, 200));
        int before = harness.sent.size();
        harness.loadBalancer.onArrival(harness.now, 99_999, profile, 0, 0, 20_000, 0);
        harness.advance(12_500);
        assertEquals(before + 1, harness.sent.size());
        assertEquals(attempts > 1, harness.cancelled.contains(99_999L));
        if (attempts > 1) {
            harness.endAttempt(harness.lastAttempt(), AttemptOutcome.CANCELLED, 12_500);
        }
        harness.advance(1_000);
        assertEquals(before + attempts, harness.sent.size());
    }

    /**
     * A cheap first transaction must not dominate the estimates of a sidecar that has just started: a more expensive
     * transaction is still retried.
     */
    @Test
    void cheapFirstTransactionDoesNotDominateEstimates() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        long[] costs = {50, 1_000, 1_000, 1_000, 1_300};
        for (int i = 0; i < costs.length; i++) {
            harness.loadBalancer.onArrival(harness.now, i + 1, 0, 0, 0, 10_000, costs[i]);
            harness.advance(200);
            harness.endAttempt(
                    harness.lastAttempt(),
                    i == costs.length - 1 ? AttemptOutcome.NO_CONNECTION : AttemptOutcome.COMMITTED,
                    200);
        }
        assertEquals(costs.length + 1, harness.sent.size());
        assertEquals(List.of(), harness.finalResponses);
    }
}
