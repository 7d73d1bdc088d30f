package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.policy.PolicyHarness.FinalResponse;
import trestlegrade.policy.PolicyHarness.Rejection;
import trestlegrade.policy.PolicyHarness.SentAttempt;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.settings.PolicySettings.DeduplicationScope;

/** Rule 1: each transaction gets exactly one final response. The state of the transaction is removed afterwards. */
class FinalResponseTest {

    /** Whatever the cause of a rejection, the transaction is removed once no attempt is in flight. */
    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "COLD", "FAILED"})
    void rejectedTransactionIsRemoved(String cause) {
        PolicyHarness harness = new PolicyHarness().fleet(cause.equals("DRAINING") ? State.DRAINING : State.READY, 0);
        for (int i = 0; i < 1_000; i++) {
            harness.arrive(i % 3);
            if (cause.equals("FAILED")) {
                while (harness.loadBalancer.heldTransactions() > 0) {
                    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.NO_CONNECTION, 10);
                }
            } else if (cause.equals("COLD")) {
                harness.now += 10;
            }
        }
        if (cause.equals("COLD")) {
            harness.advance(20_000);
            List.copyOf(harness.sent).forEach(each -> harness.endAttempt(each, AttemptOutcome.TIMED_OUT, 10_000));
        }
        harness.advance(20_000);
        assertEquals(0, harness.loadBalancer.heldTransactions());
        assertEquals(1_000, harness.finalResponses.size());
    }

    @ParameterizedTest
    @CsvSource({
        "2, TIMED_OUT,     ABANDONED",
        "0, TIMED_OUT,     ROLLED_BACK",
        "1, TIMED_OUT,     ABANDONED",
        "2, ,              ABANDONED",
        "0, ,              ROLLED_BACK",
    })
    void oneFinalResponseAtTheDeadline(int profile, AttemptOutcome outcome, Rejection expected) {
        PolicyHarness harness = new PolicyHarness(DeduplicationScope.CELL, 1).fleet(State.READY, 0);
        long id = harness.arrive(profile);
        SentAttempt attempt = harness.lastAttempt();
        if (outcome != null) {
            harness.now += 10_000;
            harness.endAttempt(attempt, outcome, 10_000);
        }
        harness.advance(10_200);
        assertEquals(List.of(new FinalResponse(expected, id)), harness.finalResponses);
        harness.endAttempt(attempt, AttemptOutcome.BROKEN, 10_300);
        harness.loadBalancer.onClientDisconnected(harness.now, id);
        harness.advance(20_000);
        assertEquals(1, harness.sent.size());
        assertEquals(1, harness.finalResponses.size());
    }

    @Test
    void noFinalResponseAfterDisconnectOrCommit() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        long disconnected = harness.arrive(0);
        harness.loadBalancer.onClientDisconnected(harness.now, disconnected);
        harness.endAttempt(harness.lastAttempt(), AttemptOutcome.ERROR, 100);
        harness.arrive(2);
        harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMMITTED, 100);
        harness.loadBalancer.onClientDisconnected(harness.now, 12345);
        harness.advance(20_000);
        assertEquals(2, harness.sent.size());
        assertEquals(List.of(), harness.finalResponses);
        assertEquals(List.of(disconnected), harness.cancelled);
    }

    /** A transaction without an available endpoint waits briefly and is then rolled back well before its deadline. */
    @ParameterizedTest
    @ValueSource(strings = {"none", "draining", "later"})
    void transactionWithoutEndpointIsRolledBackAfterAShortWait(String list) {
        PolicyHarness harness = new PolicyHarness();
        if (list.equals("draining")) {
            harness.fleet(State.DRAINING, 0);
        }
        long id = harness.arrive(2);
        harness.advance(500);
        if (list.equals("later")) {
            harness.fleet(State.READY, 0);
            assertEquals(1, harness.sent.size());
            return;
        }
        harness.advance(1_500);
        assertEquals(List.of(), harness.sent);
        assertEquals(List.of(FinalResponse.rolledBack(id)), harness.finalResponses);
    }

    /**
     * In a burst on a fleet that is cold as a whole, most transactions find no endpoint; each gets one final response.
     */
    @Test
    void eachTransactionOfABurstOnAColdFleetGetsOneResponse() {
        PolicyHarness harness = new PolicyHarness();
        harness.fleet(State.READY, harness.now);
        for (int i = 0; i < 100; i++) {
            for (int j = 0; j < 20; j++) {
                harness.arrive(2);
            }
            harness.advance(100);
        }
        long sentEarly = harness.sent.size();
        assertTrue(sentEarly >= 10 && sentEarly <= 100, "sent " + sentEarly);
        harness.advance(12_000);
        assertEquals(2_000, harness.finalResponses.size());
        assertEquals(
                2_000,
                harness.finalResponses.stream()
                        .map(FinalResponse::transactionId)
                        .distinct()
                        .count());
    }
}
