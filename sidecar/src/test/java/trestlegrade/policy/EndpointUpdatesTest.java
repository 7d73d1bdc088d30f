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

/** The endpoint list: draining (rule 3), restarts, and how it is asked for. */
class EndpointUpdatesTest {

    /** Endpoints that come and go all day: what has left is forgotten, and passes nothing on to who comes next. */
    @Test
    void goneEndpointIsForgottenAndPassesNothingOn() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.runTraffic(50_000, 100, AttemptOutcome.ERROR, 100);
        assertTrue(harness.loadBalancer.endpoint(100).ejection().isEjected());
        harness.arrive(0);
        SentAttempt out = harness.lastAttempt();
        for (int i = 0; i < 1_000; i++) {
            long old = i == 0 ? out.endpointId() : 200 + i - 1;
            harness.update(old, State.GONE, 0);
            harness.runTraffic(200, -1, null, 0);
            harness.update(200 + i, State.READY, 0);
            assertFalse(harness.loadBalancer.endpoint(200 + i).ejection().isEjected());
            assertEquals(0, harness.loadBalancer.endpoint(200 + i).calls().consecutiveFailures());
            // An attempt in flight keeps its endpoint apart until it ends.
            assertTrue(i >= 9 || harness.loadBalancer.endpoint(out.endpointId()) != null, "generation " + i);
            assertTrue(i < 20 || harness.loadBalancer.endpoint(200 + i - 20) == null, "generation " + i);
            assertTrue(
                    harness.loadBalancer.endpoint(200 + i).index() <= 11,
                    "place " + harness.loadBalancer.endpoint(200 + i).index());
            if (i == 8) {
                harness.endAttempt(out, AttemptOutcome.ERROR, 100);
            }
        }
        assertEquals(0, harness.loadBalancer.endpoint(1_199).calls().consecutiveFailures());
    }

    /** The clock here stepped back by an hour: an endpoint that starts is cold from now on, and warm in its time. */
    @Test
    void startInTheFutureCountsAsNow() {
        PolicyHarness harness = new PolicyHarness().fleet(State.READY, 0);
        harness.update(100, State.READY, harness.now + 36_000_000);
        assertEquals(harness.now, harness.loadBalancer.endpoint(100).slowStart().warmUpStartedAt());
        // Told once more, it has not started again.
        long started = harness.now;
        harness.advance(50_000);
        harness.update(100, State.READY, started + 36_000_000);
        assertEquals(started, harness.loadBalancer.endpoint(100).slowStart().warmUpStartedAt());
        assertEquals(0, harness.loadBalancer.endpoint(101).slowStart().warmUpStartedAt());
    }

    /** Nothing new from the moment the sidecar is told, further attempts included. */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "gone", "missing"})
    void nothingNewGoesToDrainingOrGoneEndpoints(String how) {
        PolicyHarness harness = new PolicyHarness(DeduplicationScope.ALL, 3).fleet(State.READY, 0);
        harness.arrive(1);
        if (how.equals("missing")) {
            harness.loadBalancer.onEndpointUpdates(
                    harness.now, List.of(new EndpointUpdate(105, 1, 0, 2, State.READY, 1, 0)), true, false);
        } else {
            for (long id = 100; id < 110; id++) {
                if (id != 105) {
                    harness.update(id, how.equals("gone") ? State.GONE : State.DRAINING, 0);
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

    /** A failed call for the list is made again, later each time and never too late. */
    @Test
    void failedListCallIsRepeatedLaterEachTime() {
        PolicyHarness harness = new PolicyHarness();
        assertEquals(1, harness.subscriptions);
        for (int i = 0; i < 10; i++) {
            harness.loadBalancer.onEndpointListFailed(harness.now);
            harness.advance(100_000 * 3 / 4);
            assertEquals(2 + i, harness.subscriptions);
        }
    }

    /**
     * What discovery has counts as told 6 s after it can be reached again, however long the settings leave for asking.
     */
    @ParameterizedTest
    @ValueSource(ints = {10_000, 60_000})
    void listCallIsRepeatedWithinTheNotificationTime(int askWithin) {
        for (int seed = 0; seed < 50; seed++) {
            PolicyHarness harness =
                    new PolicyHarness(seed, DeduplicationScope.CELL, 3, "safety.ask_within=" + askWithin);
            for (int i = 0; i < 12; i++) {
                harness.loadBalancer.onEndpointListFailed(harness.now);
                int before = harness.subscriptions;
                harness.advance(27_600);
                assertEquals(before + 1, harness.subscriptions);
            }
        }
    }

    /** Discovery serves in turn and a call waits 2 s at the most: what a hundred ask of it while it fails. */
    @Test
    void sidecarsThatFailTogetherAskSeldomAndApart() {
        int[] asked = new int[30];
        for (int seed = 0; seed < 100; seed++) {
            PolicyHarness harness = new PolicyHarness(seed);
            for (long failed = harness.now; failed - 1_000_000 < 300_000; failed = harness.now + 20_000) {
                harness.advance(failed - harness.now);
                int before = harness.subscriptions;
                harness.loadBalancer.onEndpointListFailed(harness.now);
                while (harness.subscriptions == before) {
                    harness.advance(100);
                }
                asked[(int) Math.min(29, (harness.now - 1_000_000) / 10_000)]++;
            }
        }
        int later = Arrays.stream(asked).skip(9).limit(20).sum();
        assertTrue(later < 20 * 25, later + " in twenty seconds");
    }
}
