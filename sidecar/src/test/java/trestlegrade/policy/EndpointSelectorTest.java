package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.policy.PolicyHarness.SentAttempt;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.AttemptOutcome;

/** The pick: shares by weight, subsets, zones and keys. */
class EndpointSelectorTest {

    /** Most endpoints fail one profile and commit the other: each profile goes where it is committed. */
    @Test
    void profileAvoidsEndpointsThatFailIt() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        int[][] attempts = new int[3][2];
        for (int i = 0; i < 3_000; i++) {
            int profile = i % 2 * 2;
            harness.now += 50;
            harness.loadBalancer.onTick(harness.now);
            harness.arrive(profile);
            SentAttempt attempt = harness.lastAttempt();
            boolean bad = attempt.endpointId() >= 104;
            attempts[profile][bad ? 1 : 0] += i < 300 ? 0 : 1;
            harness.now += 50;
            harness.endAttempt(attempt, bad && profile == 2 ? AttemptOutcome.ERROR : AttemptOutcome.COMMITTED, 200);
        }
        assertTrue(
                attempts[2][1] < attempts[2][0] / 8,
                attempts[2][1] + " of the failing profile at endpoints that fail it");
        assertTrue(attempts[0][1] > attempts[0][0] / 4, attempts[0][1] + " of the other profile at the same endpoints");
    }

    /** What fails now and then everywhere alike moves no profile. */
    @ParameterizedTest
    @ValueSource(ints = {10, 20})
    void occasionalFailuresOfAllMoveNoProfile(int oneIn) {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        int[] attempts = new int[10];
        for (int i = 0; i < 3_000; i++) {
            harness.now += 100;
            harness.loadBalancer.onTick(harness.now);
            harness.arrive(2);
            SentAttempt attempt = harness.lastAttempt();
            attempts[(int) attempt.endpointId() - 100]++;
            harness.now += 100;
            harness.endAttempt(attempt, i % oneIn == 0 ? AttemptOutcome.ERROR : AttemptOutcome.COMMITTED, 200);
        }
        Arrays.sort(attempts);
        assertTrue(attempts[9] < 3 * attempts[0], attempts[0] + " to " + attempts[9]);
    }

    /** Keyed picks follow the ring's arcs: linear positions gave some endpoints three times their part. */
    @Test
    void ringGivesKeysEvenly() {
        SeededRandom chance = new SeededRandom(1);
        java.util.TreeMap<Long, Integer> ring = new java.util.TreeMap<>();
        for (int point = 0; point < 1_000; point++) {
            ring.put(chance.position(100 + point / 100, point % 100), point / 100);
        }
        int[] keys = new int[10];
        for (long key = 1; key <= 10_000; key++) {
            var next = ring.ceilingEntry(chance.position(key * 0x5DEECE66DL, -1));
            keys[next == null ? ring.firstEntry().getValue() : next.getValue()]++;
        }
        for (int each : keys) {
            assertEquals(1_000, each, 350);
        }
    }

    /** Shares follow points: an even fleet gets even shares, a half-weight endpoint half of one. */
    @ParameterizedTest
    @CsvSource({"1, 0.1", "0.5, 0.0526", "2, 0.1818"})
    void shareFollowsWeight(double weight, double share) {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.loadBalancer.onEndpointUpdates(
                harness.now, List.of(new EndpointUpdate(103, 0, 0, 1, State.READY, weight, 0)), false, false);
        int attempts = harness.runTraffic(100_000, 103, AttemptOutcome.COMMITTED, 200);
        assertEquals(share, attempts / (double) harness.sent.size(), 0.015);
    }

    /**
     * Where connections cost, each sidecar keeps to a few endpoints of a zone, and each endpoint is kept by as many.
     */
    @Test
    void subsetIsAFewOfEachZoneAndEvenOverTheFleet() {
        int[] keepers = new int[10];
        for (int number = 0; number < 125; number++) {
            PolicyHarness harness = new PolicyHarness("fees.connection=0.03", "n_instances=125", "my_number=" + number)
                    .fleet(State.READY, 0);
            harness.runTraffic(8_000, -1, null, 0);
            long[] kept = harness.sent.stream()
                    .mapToLong(SentAttempt::endpointId)
                    .distinct()
                    .toArray();
            assertEquals(8, kept.length);
            assertEquals(4, Arrays.stream(kept).filter(id -> id % 2 == 0).count());
            for (long id : kept) {
                keepers[(int) id - 100]++;
            }
        }
        Arrays.sort(keepers);
        assertTrue(keepers[9] - keepers[0] <= 5, Arrays.toString(keepers));
        // A part of one that leaves is made up for.
        PolicyHarness harness = new PolicyHarness("fees.connection=0.03", "n_instances=125").fleet(State.READY, 0);
        harness.runTraffic(8_000, -1, null, 0);
        harness.update(harness.lastAttempt().endpointId(), State.DRAINING, 0);
        int before = harness.sent.size();
        harness.runTraffic(8_000, -1, null, 0);
        assertEquals(
                8,
                harness.sent.stream()
                        .skip(before)
                        .map(SentAttempt::endpointId)
                        .distinct()
                        .count());
    }

    /** Where a crossing costs much, picks stay in the own zone until it is crowded; else they go anywhere. */
    @ParameterizedTest
    @CsvSource({"0.12, 200, 0, 0", "0.12, 4000, 0.2, 0.9", "0.03, 200, 0.4, 0.6"})
    void picksStayLocalUntilTheZoneIsOverloaded(double fee, long took, double least, double most) {
        PolicyHarness harness = new PolicyHarness("fees.cross_zone=" + fee, "zone=1").fleet(State.READY, 0);
        harness.runTraffic(30_000, -1, null, 0);
        List.copyOf(harness.sent).forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.COMMITTED, 200));
        int before = harness.sent.size();
        for (int i = 0, ended = before; i < 2_000; i++) {
            long due = harness.now - took;
            harness.arrive(0);
            while (harness.sentAt(ended) <= due) {
                harness.endAttempt(harness.sent.get(ended++), AttemptOutcome.COMMITTED, took);
            }
            harness.advance(100);
        }
        double away = harness.sent.stream()
                        .skip(before)
                        .filter(s -> s.endpointId() % 2 == 0)
                        .count()
                / (double) (harness.sent.size() - before);
        assertTrue(away >= least && away <= most, "away " + away);
    }

    /** A weight that falls with the load is no size: the busy keep their points, and are passed over by keys. */
    @Test
    void loadInWeightsMovesKeysAndLeavesPoints() {
        PolicyHarness harness = new PolicyHarness("weights=live", "family_info.warm_keys=true").fleet(State.READY, 0);
        for (int other = 1_000; other < 1_300; other++) {
            keyed(harness, other);
        }
        long first = keyed(harness, 77);
        harness.loadBalancer.onEndpointUpdates(
                harness.now, List.of(new EndpointUpdate(first, 0, 0, 0, State.READY, 0.05, 0)), false, false);
        assertTrue(keyed(harness, 77) != first);
        assertEquals(
                harness.loadBalancer.endpoint(first == 100 ? 101 : 100).ringPoints(),
                harness.loadBalancer.endpoint(first).ringPoints());
        assertEquals(1, harness.loadBalancer.endpoint(first).weight());
        // Half as much each three seconds: left alone, it is taken again.
        harness.advance(200_000);
        assertEquals(first, keyed(harness, 77));
    }

    private static long keyed(PolicyHarness harness, long key) {
        harness.loadBalancer.onArrival(harness.now, harness.nextTransactionId++, 0, 0, key, 10_000, 0);
        SentAttempt attempt = harness.lastAttempt();
        harness.endAttempt(attempt, AttemptOutcome.COMMITTED, 200);
        return attempt.endpointId();
    }
}
