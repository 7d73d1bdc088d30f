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

/** Load shedding: what counts as overload, and which profiles are shed first. */
class LoadShedderTest {

    /**
     * On a sidecar with little traffic, little is shed while a third of many endpoints are silent, because the others
     * serve. The silence of all endpoints counts as congestion.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "24, 0, 30", "72, 60, 300"})
    void silenceOfSomeShedsLittleAndSilenceOfAllShedsMost(int silentEndpoints, int min, int max) {
        PolicyHarness harness = new PolicyHarness();
        for (int i = 0; i < 72; i++) {
            harness.update(100 + i, State.READY, 0);
        }
        List<SentAttempt> inFlight = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            int before = harness.sent.size();
            harness.arrive(2);
            inFlight.addAll(harness.sent.subList(before, harness.sent.size()));
            for (int tick = 0; tick < 8; tick++) {
                harness.advance(100);
                for (SentAttempt attempt : List.copyOf(inFlight)) {
                    long age = harness.now - harness.sentAt(harness.sent.indexOf(attempt));
                    boolean silent = i >= 100 && attempt.endpointId() < 100 + silentEndpoints;
                    if (age >= (silent ? 10_000 : 1_300)) {
                        inFlight.remove(attempt);
                        harness.endAttempt(attempt, silent ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMMITTED, age);
                    }
                }
            }
        }
        long rolledBack = harness.finalResponses.stream()
                .filter(response -> response.rejection() == Rejection.ROLLED_BACK)
                .count();
        assertTrue(rolledBack >= min && rolledBack <= max, rolledBack + " rolled back");
    }

    /** Attempts stuck at one endpoint do not indicate that all endpoints are overloaded. */
    @Test
    void attemptsStuckAtOneEndpointShedNothing() {
        PolicyHarness harness = new PolicyHarness(DeduplicationScope.ALL, 3).fleet(State.READY, 0);
        harness.runTraffic(20_000, -1, null, 0);
        harness.runTraffic(7_000, 103, null, 0);
        assertEquals(List.of(), harness.finalResponses);
        assertTrue(harness.loadBalancer.endpoint(103).ejection().isEjected());
    }

    /**
     * During congestion (attempts take far longer than without queueing) arrivals are shed early, and afterwards they
     * are admitted again.
     */
    @Test
    void arrivalsAreShedDuringCongestionAndAdmittedAfterIt() {
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

    /** During congestion the profile with the least revenue is shed first, unless the goal counts the worst profile. */
    @ParameterizedTest
    @CsvSource({"0, true", "1, false"})
    void leastRevenueIsShedFirstUnlessTheWorstProfileCounts(double worstProfileWeight, boolean leastRevenueFirst) {
        PolicyHarness harness =
                new PolicyHarness("goal.whole=1", "goal.worst_class=" + worstProfileWeight).fleet(State.READY, 0);
        harness.runTraffic(30_000, -1, null, 0);
        int[] admitted = new int[3];
        for (int i = 0; i < 3_000; i++) {
            int before = harness.sent.size();
            int profile = i % 2 * 2;
            harness.arrive(profile);
            admitted[profile] += harness.sent.size() - before;
            if (i % 2 == 1) {
                harness.advance(100);
                harness.sent.stream()
                        .skip(Math.max(0, harness.sent.size() - 40))
                        .filter(s -> s.transactionId() == harness.nextTransactionId - 24)
                        .toList()
                        .forEach(s -> harness.endAttempt(s, AttemptOutcome.COMMITTED, 1_400));
            }
        }
        assertTrue(admitted[2] > 100);
        assertEquals(leastRevenueFirst, admitted[0] < 0.8 * admitted[2], admitted[0] + " and " + admitted[2]);
    }
}
