package trestlegrade.policy.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.policy.PolicyHarness;
import trestlegrade.policy.PolicyHarness.FinalResponse;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.settings.PolicySettings.DeduplicationScope;

/** The lease of the list; times in tenths of a millisecond, confirmed at 100,000 first. */
class EndpointListLeaseTest {

    /**
     * What happens at 130,000, and until when the list may be sent by; held up for 0.15 s it is still within the grace.
     */
    @ParameterizedTest
    @CsvSource({
        "nothing, 10000, 167000",
        "nothing, 2500, 160833",
        "nothing, 0, 160000",
        "confirmed, 10000, 197000",
        "late word, 10000, 167000",
        "unreachable, 10000, 197000",
        "moved, 10000, 177000",
        "unwatched, 10000, 137000",
        "moved and confirmed, 10000, 197000",
        "unwatched and unreachable, 10000, 197000",
        "shorter grace, 10000, 160833"
    })
    void ends(String event, long grace, long end) {
        EndpointListLease lease = new EndpointListLease(100_000, grace);
        long now = 130_000;
        switch (event) {
            case "confirmed" -> lease.renew(now);
            case "late word" -> lease.renew(90_000);
            case "unreachable" -> lease.discoveryUnreachable(now);
            case "moved" -> {
                lease.renew(now);
                lease.discoveryMoved(now);
            }
            case "unwatched" -> lease.pushWatchEnded(now);
            case "moved and confirmed" -> {
                lease.discoveryMoved(now);
                lease.renew(now);
            }
            case "unwatched and unreachable" -> {
                lease.pushWatchEnded(now);
                lease.discoveryUnreachable(now);
            }
            case "shorter grace" -> lease.setDrainGrace(2_500);
            default -> {}
        }
        assertTrue(lease.isValid(end - 1));
        assertFalse(lease.isValid(end));
    }

    @Test
    void aPermanentOneNeverEnds() {
        assertTrue(EndpointListLease.permanent().isValid(Long.MAX_VALUE / 2));
    }

    /** Nothing is sent past its end: no first attempt, none for what waited, and none behind one that failed. */
    @Test
    void decisionsSendNothingPastItsEnd() {
        EndpointListLease lease = new EndpointListLease(1_000_000, 10_000);
        PolicyHarness harness = new PolicyHarness(lease, DeduplicationScope.ALL, 3).fleet(State.READY, 0);
        harness.now += EndpointListLease.NOTIFICATION_TICKS + 6_900;
        long open = harness.arrive(2);
        assertEquals(1, harness.sent.size());
        harness.now += 100;
        harness.endAttempt(harness.lastAttempt(), AttemptOutcome.NO_CONNECTION, 100);
        harness.arrive(0);
        assertEquals(1, harness.sent.size());
        assertEquals(FinalResponse.rolledBack(open), harness.finalResponses.get(0));
        assertEquals(2, harness.finalResponses.size());
        assertEquals(0, harness.loadBalancer.heldTransactions());
        assertEquals(List.of(RejectionReason.STALE_LIST, RejectionReason.STALE_LIST), harness.rejectionReasons);
        lease.renew(harness.now);
        harness.advance(100);
        harness.arrive(0);
        assertEquals(2, harness.sent.size());
    }

    /**
     * Discovery says nothing for a minute: those that serve are sent to, one that drains no later than that may count
     * as told.
     */
    @Test
    void serversThatServeAreSentToWithoutDiscovery() {
        EndpointListLease lease = new EndpointListLease(1_000_000, 10_000);
        PolicyHarness harness = new PolicyHarness(lease, DeduplicationScope.ALL, 3).fleet(State.READY, 0);
        harness.runTraffic(100_000, 100, AttemptOutcome.COMMITTED, 200);
        int before = harness.sent.size();
        int drains = harness.runTraffic(67_000, 100, AttemptOutcome.REJECTED, 10);
        assertTrue(drains < 3, drains + " to the one that drains");
        assertTrue(harness.sent.size() - before > 3_000, harness.sent.size() - before + " sent");
        assertEquals(0, harness.runTraffic(433_000, 100, AttemptOutcome.COMMITTED, 200));
        assertFalse(harness.rejectionReasons.contains(RejectionReason.STALE_LIST));
        lease.renew(harness.now);
        assertTrue(harness.runTraffic(50_000, 100, AttemptOutcome.COMMITTED, 200) > 0);
    }

    /**
     * One that has served nothing for as long as a change takes to be told may have begun to drain right after that.
     */
    @Test
    void whatAServerServedLongAgoTellsNothing() {
        EndpointListLease lease = new EndpointListLease(1_000_000, 10_000);
        PolicyHarness harness = new PolicyHarness(lease, DeduplicationScope.ALL, 3).fleet(State.READY, 0);
        harness.now += 60_000;
        harness.arrive(0);
        harness.now += 500;
        harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMMITTED, 500);
        harness.now += 66_400;
        harness.arrive(0);
        assertEquals(2, harness.sent.size());
        harness.now += 100;
        harness.endAttempt(harness.lastAttempt(), AttemptOutcome.ERROR, 100);
        assertEquals(2, harness.sent.size());
        assertEquals(1, harness.finalResponses.size());
    }
}
