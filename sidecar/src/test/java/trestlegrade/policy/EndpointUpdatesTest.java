package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.policy.PolicyHarness.SentAttempt;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.settings.PolicySettings.DeduplicationScope;

/** Rule 3 (draining), and other updates of the endpoint list: removals, restarts, and the calls for the list. */
class EndpointUpdatesTest {

    /**
     * Endpoints are added and removed continually. The state of a removed endpoint is discarded, and an endpoint that
     * takes its place in the table does not inherit its failures or ejection.
     */
    @Test
    void stateOfGoneEndpointIsRemovedAndNotInherited() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.runTraffic(50_000, 100, AttemptOutcome.ERROR, 100);
        assertTrue(harness.loadBalancer.endpoint(100).ejection().isEjected());
        harness.arrive(0);
        SentAttempt inFlight = harness.lastAttempt();
        for (int i = 0; i < 1_000; i++) {
            long previous = i == 0 ? inFlight.endpointId() : 200 + i - 1;
            harness.update(previous, State.GONE, 0);
            harness.runTraffic(200, -1, null, 0);
            harness.update(200 + i, State.READY, 0);
            assertFalse(harness.loadBalancer.endpoint(200 + i).ejection().isEjected());
            assertEquals(0, harness.loadBalancer.endpoint(200 + i).calls().consecutiveFailures());
            // An attempt in flight keeps the state of its endpoint until it ends.
            assertTrue(i >= 9 || harness.loadBalancer.endpoint(inFlight.endpointId()) != null, "generation " + i);
            assertTrue(i < 20 || harness.loadBalancer.endpoint(200 + i - 20) == null, "generation " + i);
            assertTrue(
                    harness.loadBalancer.endpoint(200 + i).index() <= 11,
                    "index " + harness.loadBalancer.endpoint(200 + i).index());
            if (i == 8) {
                harness.endAttempt(inFlight, AttemptOutcome.ERROR, 100);
            }
        }
        assertEquals(0, harness.loadBalancer.endpoint(1_199).calls().consecutiveFailures());
    }

    /**
     * If the local clock stepped back by an hour, the start of an endpoint lies in the future. The slow start of the
     * endpoint then begins now, and further updates with the same start time do not restart it.
     */
    @Test
    void startInTheFutureCountsAsNow() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.update(100, State.READY, harness.now + 36_000_000);
        assertEquals(harness.now, harness.loadBalancer.endpoint(100).slowStart().warmUpStartedAt());
        // A repeated update with the same start time is not a restart.
        long startedAt = harness.now;
        harness.advance(50_000);
        harness.update(100, State.READY, startedAt + 36_000_000);
        assertEquals(startedAt, harness.loadBalancer.endpoint(100).slowStart().warmUpStartedAt());
        assertEquals(0, harness.loadBalancer.endpoint(101).slowStart().warmUpStartedAt());
    }

    /** Rule 3: once the sidecar is notified, a draining or removed endpoint gets no attempt, not even a retry. */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "gone", "missing"})
    void drainingOrGoneEndpointsGetNoNewAttempts(String change) {
        PolicyHarness harness = new PolicyHarness(DeduplicationScope.ALL, 3).fleet(State.READY, 0);
        harness.arrive(1);
        if (change.equals("missing")) {
            harness.loadBalancer.onEndpointUpdates(
                    harness.now, List.of(new EndpointUpdate(105, 1, 0, 2, State.READY, 1, 0)), true, false);
        } else {
            for (long id = 100; id < 110; id++) {
                if (id != 105) {
                    harness.update(id, change.equals("gone") ? State.GONE : State.DRAINING, 0);
                }
            }
        }
        int before = harness.sent.size();
        harness.endAttempt(harness.sent.get(0), AttemptOutcome.NO_CONNECTION, 100);
        for (int i = 0; i < 100; i++) {
            harness.arrive(0);
        }
        harness.advance(3_000);
        assertTrue(harness.sent.size() > before);
        assertTrue(harness.sent.stream().skip(before).allMatch(s -> s.endpointId() == 105));
    }

    /** A failed call for the list is retried within 7.5 s, however many calls failed before. */
    @Test
    void failedListCallIsRetriedOnceWithinItsBound() {
        PolicyHarness harness = new PolicyHarness();
        assertEquals(1, harness.subscriptions);
        for (int i = 0; i < 10; i++) {
            harness.loadBalancer.onEndpointListFailed(harness.now);
            harness.advance(100_000 * 3 / 4);
            assertEquals(2 + i, harness.subscriptions);
        }
    }

    /**
     * Changes count as notified 6 s after discovery is reachable again, so a failed call is retried within 2.76 s,
     * however long a poll interval the settings permit.
     */
    @ParameterizedTest
    @ValueSource(ints = {10_000, 60_000})
    void listCallIsRetriedWithinTheNotificationDelay(int maxPollIntervalMillis) {
        for (int seed = 0; seed < 50; seed++) {
            PolicyHarness harness =
                    new PolicyHarness(seed, DeduplicationScope.CELL, 3, "safety.ask_within=" + maxPollIntervalMillis);
            for (int i = 0; i < 12; i++) {
                harness.loadBalancer.onEndpointListFailed(harness.now);
                int before = harness.subscriptions;
                harness.advance(27_600);
                assertEquals(before + 1, harness.subscriptions);
            }
        }
    }

    /**
     * Discovery serves calls one after the other, and each call times out after 2 s. A hundred sidecars whose calls
     * fail together must not retry more often than discovery can serve: fewer than 25 calls a second once the backoff
     * has grown.
     */
    @Test
    void retriesOfManySidecarsStayBelowTheRateOfDiscovery() {
        int[] callsPerSecond = new int[30];
        for (int seed = 0; seed < 100; seed++) {
            PolicyHarness harness = new PolicyHarness(seed);
            for (long failsAt = harness.now; failsAt - 1_000_000 < 300_000; failsAt = harness.now + 20_000) {
                harness.advance(failsAt - harness.now);
                int before = harness.subscriptions;
                harness.loadBalancer.onEndpointListFailed(harness.now);
                while (harness.subscriptions == before) {
                    harness.advance(100);
                }
                callsPerSecond[(int) Math.min(29, (harness.now - 1_000_000) / 10_000)]++;
            }
        }
        int laterCalls = Arrays.stream(callsPerSecond).skip(9).limit(20).sum();
        assertTrue(laterCalls < 20 * 25, laterCalls + " calls in twenty seconds");
    }
}
