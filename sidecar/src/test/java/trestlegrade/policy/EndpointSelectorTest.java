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

/** Selection of endpoints: shares by weight, subsets, zones and keys. */
class EndpointSelectorTest {

    /**
     * If most endpoints fail one profile and commit the other, the first profile goes to the remaining endpoints, and
     * the other profile still uses all of them.
     */
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
            boolean failing = attempt.endpointId() >= 104;
            attempts[profile][failing ? 1 : 0] += i < 300 ? 0 : 1;
            harness.now += 50;
            harness.endAttempt(attempt, failing && profile == 2 ? AttemptOutcome.ERROR : AttemptOutcome.COMMITTED, 200);
        }
        assertTrue(
                attempts[2][1] < attempts[2][0] / 8,
                attempts[2][1] + " attempts of the failing profile at endpoints that fail it");
        assertTrue(
                attempts[0][1] > attempts[0][0] / 4,
                attempts[0][1] + " attempts of the other profile at the same endpoints");
    }

    /** Occasional failures that are equally common at all endpoints do not move a profile. */
    @ParameterizedTest
    @ValueSource(ints = {10, 20})
    void occasionalFailuresAtAllEndpointsMoveNoProfile(int failureInterval) {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        int[] attempts = new int[10];
        for (int i = 0; i < 3_000; i++) {
            harness.now += 100;
            harness.loadBalancer.onTick(harness.now);
            harness.arrive(2);
            SentAttempt attempt = harness.lastAttempt();
            attempts[(int) attempt.endpointId() - 100]++;
            harness.now += 100;
            harness.endAttempt(
                    attempt, i % failureInterval == 0 ? AttemptOutcome.ERROR : AttemptOutcome.COMMITTED, 200);
        }
        Arrays.sort(attempts);
        assertTrue(attempts[9] < 3 * attempts[0], attempts[0] + " to " + attempts[9]);
    }

    /**
     * An endpoint gets the keys on its arcs of the ring, so the total length of the arcs must be about equal for all
     * endpoints. With linear positions some endpoints had three times their share.
     */
    @Test
    void ringDistributesKeysEvenly() {
        SeededRandom random = new SeededRandom(1);
        java.util.TreeMap<Long, Integer> ring = new java.util.TreeMap<>();
        for (int point = 0; point < 1_000; point++) {
            ring.put(random.position(100 + point / 100, point % 100), point / 100);
        }
        int[] keys = new int[10];
        for (long key = 1; key <= 10_000; key++) {
            var next = ring.ceilingEntry(random.position(key * 0x5DEECE66DL, -1));
            keys[next == null ? ring.firstEntry().getValue() : next.getValue()]++;
        }
        for (int count : keys) {
            assertEquals(1_000, count, 350);
        }
    }

    /** Shares follow ring points: equal weights give equal shares, and half the weight gives half a share. */
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
     * If connections have a cost, each sidecar uses a few endpoints of each zone, and each endpoint is used by about
     * the same number of sidecars.
     */
    @Test
    void subsetTakesFewEndpointsOfEachZoneEvenlyOverTheFleet() {
        int[] sidecarsPerEndpoint = new int[10];
        for (int sidecar = 0; sidecar < 125; sidecar++) {
            PolicyHarness harness = new PolicyHarness("fees.connection=0.03", "n_instances=125", "my_number=" + sidecar)
                    .fleet(State.READY, 0);
            harness.runTraffic(8_000, -1, null, 0);
            long[] subset = harness.sent.stream()
                    .mapToLong(SentAttempt::endpointId)
                    .distinct()
                    .toArray();
            assertEquals(8, subset.length);
            assertEquals(4, Arrays.stream(subset).filter(id -> id % 2 == 0).count());
            for (long id : subset) {
                sidecarsPerEndpoint[(int) id - 100]++;
            }
        }
        Arrays.sort(sidecarsPerEndpoint);
        assertTrue(sidecarsPerEndpoint[9] - sidecarsPerEndpoint[0] <= 5, Arrays.toString(sidecarsPerEndpoint));
        // A draining endpoint of the subset is replaced.
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

    /**
     * If cross-zone attempts are expensive, selections stay in the local zone until it is overloaded; otherwise they go
     * to all zones.
     */
    @ParameterizedTest
    @CsvSource({"0.12, 200, 0, 0", "0.12, 4000, 0.2, 0.9", "0.03, 200, 0.4, 0.6"})
    void selectionsStayLocalUntilTheZoneIsOverloaded(double crossZoneCost, long durationTicks, double min, double max) {
        PolicyHarness harness = new PolicyHarness("fees.cross_zone=" + crossZoneCost, "zone=1").fleet(State.READY, 0);
        harness.runTraffic(30_000, -1, null, 0);
        List.copyOf(harness.sent).forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.COMMITTED, 200));
        int before = harness.sent.size();
        for (int i = 0, ended = before; i < 2_000; i++) {
            long due = harness.now - durationTicks;
            harness.arrive(0);
            while (harness.sentAt(ended) <= due) {
                harness.endAttempt(harness.sent.get(ended++), AttemptOutcome.COMMITTED, durationTicks);
            }
            harness.advance(100);
        }
        double remoteFraction = harness.sent.stream()
                        .skip(before)
                        .filter(s -> s.endpointId() % 2 == 0)
                        .count()
                / (double) (harness.sent.size() - before);
        assertTrue(remoteFraction >= min && remoteFraction <= max, "remote " + remoteFraction);
    }

    /**
     * A weight that decreases with the load is not a size: busy endpoints keep their ring points, but keys avoid them.
     */
    @Test
    void reportedLoadMovesKeysAndKeepsRingPoints() {
        PolicyHarness harness = new PolicyHarness("weights=live", "family_info.warm_keys=true").fleet(State.READY, 0);
        for (int key = 1_000; key < 1_300; key++) {
            selectByKey(harness, key);
        }
        long first = selectByKey(harness, 77);
        harness.loadBalancer.onEndpointUpdates(
                harness.now, List.of(new EndpointUpdate(first, 0, 0, 0, State.READY, 0.05, 0)), false, false);
        assertTrue(selectByKey(harness, 77) != first);
        assertEquals(
                harness.loadBalancer.endpoint(first == 100 ? 101 : 100).ringPoints(),
                harness.loadBalancer.endpoint(first).ringPoints());
        assertEquals(1, harness.loadBalancer.endpoint(first).weight());
        // The reported load halves every 3 s, so the key returns to the endpoint after a time without requests.
        harness.advance(200_000);
        assertEquals(first, selectByKey(harness, 77));
    }

    private static long selectByKey(PolicyHarness harness, long key) {
        harness.loadBalancer.onArrival(harness.now, harness.nextTransactionId++, 0, 0, key, 10_000, 0);
        SentAttempt attempt = harness.lastAttempt();
        harness.endAttempt(attempt, AttemptOutcome.COMMITTED, 200);
        return attempt.endpointId();
    }
}
