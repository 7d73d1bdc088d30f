package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.policy.PolicyHarness.Rejection;
import trestlegrade.policy.PolicyHarness.SentAttempt;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.settings.PolicySettings.DeduplicationScope;

/** Load shedding: what counts as overload, and which profiles go first. */
class LoadShedderTest {

    /** A sidecar that sees little: while a third of many endpoints are silent the others serve; all silent is a jam. */
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "24, 0, 30", "72, 60, 300"})
    void silenceOfSomeShedsLittleAndSilenceOfAllShedsMost(int silent, int least, int most) {
        PolicyHarness harness = new PolicyHarness();
        for (int i = 0; i < 72; i++) {
            harness.update(100 + i, State.READY, 0);
        }
        List<SentAttempt> out = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            int before = harness.sent.size();
            harness.arrive(2);
            out.addAll(harness.sent.subList(before, harness.sent.size()));
            for (int beat = 0; beat < 8; beat++) {
                harness.advance(100);
                for (SentAttempt attempt : List.copyOf(out)) {
                    long age = harness.now - harness.sentAt(harness.sent.indexOf(attempt));
                    boolean mute = i >= 100 && attempt.endpointId() < 100 + silent;
                    if (age >= (mute ? 10_000 : 1_300)) {
                        out.remove(attempt);
                        harness.endAttempt(attempt, mute ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMMITTED, age);
                    }
                }
            }
        }
        long dropped = harness.finalResponses.stream()
                .filter(answer -> answer.rejection() == Rejection.ROLLED_BACK)
                .count();
        assertTrue(dropped >= least && dropped <= most, dropped + " rolled back");
    }

    /** Attempts stuck at one endpoint are no sign that all endpoints are overloaded. */
    @Test
    void attemptsStuckAtOneEndpointShedNothing() {
        PolicyHarness harness = new PolicyHarness(DeduplicationScope.ALL, 3).fleet(State.READY, 0);
        harness.runTraffic(20_000, -1, null, 0);
        harness.runTraffic(7_000, 103, null, 0);
        assertEquals(List.of(), harness.finalResponses);
        assertTrue(harness.loadBalancer.endpoint(103).ejection().isEjected());
    }

    /** A jam (everything takes far longer than it can) ends arrivals early, and the end of it lets them in. */
    @Test
    void arrivalsAreShedInAJamAndAdmittedAfterIt() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.runTraffic(30_000, -1, null, 0);
        assertEquals(0, harness.finalResponses.size());
        for (int i = 0; i < 3_000; i++) {
            harness.arrive(0);
            if (i % 20 == 0) {
                harness.advance(100);
            }
        }
        assertTrue(harness.finalResponses.size() > 1_000, "rolled back " + harness.finalResponses.size());
        for (SentAttempt each : List.copyOf(harness.sent)) {
            harness.endAttempt(each, AttemptOutcome.COMMITTED, 4_000);
        }
        harness.runTraffic(100_000, -1, null, 0);
        int before = harness.finalResponses.size();
        harness.runTraffic(30_000, -1, null, 0);
        assertEquals(before, harness.finalResponses.size());
    }

    /** In a jam the profile with the least revenue goes first, unless the goal counts the worst-served one. */
    @ParameterizedTest
    @CsvSource({"0, true", "1, false"})
    void leastRevenueIsShedFirstUnlessTheWorstProfileCounts(double worst, boolean apart) {
        PolicyHarness harness = new PolicyHarness("goal.whole=1", "goal.worst_class=" + worst).fleet(State.READY, 0);
        harness.runTraffic(30_000, -1, null, 0);
        int[] passed = new int[3];
        for (int i = 0; i < 3_000; i++) {
            int before = harness.sent.size();
            int profile = i % 2 * 2;
            harness.arrive(profile);
            passed[profile] += harness.sent.size() - before;
            if (i % 2 == 1) {
                harness.advance(100);
                harness.sent.stream()
                        .skip(Math.max(0, harness.sent.size() - 40))
                        .filter(s -> s.transactionId() == harness.nextTransactionId - 24)
                        .toList()
                        .forEach(s -> harness.endAttempt(s, AttemptOutcome.COMMITTED, 1_400));
            }
        }
        assertTrue(passed[2] > 100);
        assertEquals(apart, passed[0] < 0.8 * passed[2], passed[0] + " and " + passed[2]);
    }
}
