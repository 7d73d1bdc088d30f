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

/** Tests when the lease of the endpoint list expires, and what is sent under that lease. Times are ticks of 0.1 ms. */
class EndpointListLeaseTest {

    /**
     * Checks when a lease that was confirmed at 100,000 expires after an event at 130,000. Unless the grace is 0, a
     * process that is held up for 0.15 s at the expiry time is still within the grace.
     */
    @ParameterizedTest
    @CsvSource({
        "nothing, 10000, 167000",
        "nothing, 2500, 160833",
        "nothing, 0, 160000",
        "confirmed, 10000, 197000",
        "older confirmation, 10000, 167000",
        "unreachable, 10000, 197000",
        "moved, 10000, 177000",
        "push watch ended, 10000, 137000",
        "moved and confirmed, 10000, 197000",
        "push watch ended and unreachable, 10000, 197000",
        "shorter grace, 10000, 160833"
    })
    void expiresAtTheExpectedTime(String event, long grace, long expiry) {
        EndpointListLease lease = new EndpointListLease(100_000, grace);
        long now = 130_000;
        switch (event) {
            case "confirmed" -> lease.renew(now);
            case "older confirmation" -> lease.renew(90_000);
            case "unreachable" -> lease.discoveryUnreachable(now);
            case "moved" -> {
                lease.renew(now);
                lease.discoveryMoved(now);
            }
            case "push watch ended" -> lease.pushWatchEnded(now);
            case "moved and confirmed" -> {
                lease.discoveryMoved(now);
                lease.renew(now);
            }
            case "push watch ended and unreachable" -> {
                lease.pushWatchEnded(now);
                lease.discoveryUnreachable(now);
            }
            case "shorter grace" -> lease.setDrainGrace(2_500);
            default -> {}
        }
        assertTrue(lease.isValid(expiry - 1));
        assertFalse(lease.isValid(expiry));
    }

    @Test
    void permanentLeaseNeverExpires() {
        assertTrue(EndpointListLease.permanent().isValid(Long.MAX_VALUE / 2));
    }

    /** After the lease has expired no attempt is sent: no first one, none of a waiting transaction and no retry. */
    @Test
    void nothingIsSentAfterExpiry() {
        EndpointListLease lease = new EndpointListLease(1_000_000, 10_000);
        PolicyHarness harness = new PolicyHarness(lease, DeduplicationScope.ALL, 3).fleet(State.READY, 0);
        harness.now += EndpointListLease.NOTIFICATION_DELAY_TICKS + 6_900;
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
     * While discovery is silent for a minute, endpoints that serve requests continue to receive them. An endpoint that
     * drains receives none from the time at which its draining may count as notified.
     */
    @Test
    void servingEndpointsReceiveRequestsWithoutDiscovery() {
        EndpointListLease lease = new EndpointListLease(1_000_000, 10_000);
        PolicyHarness harness = new PolicyHarness(lease, DeduplicationScope.ALL, 3).fleet(State.READY, 0);
        harness.runTraffic(100_000, 100, AttemptOutcome.COMMITTED, 200);
        int before = harness.sent.size();
        int toDraining = harness.runTraffic(67_000, 100, AttemptOutcome.REJECTED, 10);
        assertTrue(toDraining < 3, toDraining + " attempts at the draining endpoint");
        assertTrue(harness.sent.size() - before > 3_000, harness.sent.size() - before + " attempts sent");
        assertEquals(0, harness.runTraffic(433_000, 100, AttemptOutcome.COMMITTED, 200));
        assertFalse(harness.rejectionReasons.contains(RejectionReason.STALE_LIST));
        lease.renew(harness.now);
        assertTrue(harness.runTraffic(50_000, 100, AttemptOutcome.COMMITTED, 200) > 0);
    }

    /**
     * An endpoint that has served no request for the whole notification delay may have begun to drain right after its
     * last request, so it receives no further attempt.
     */
    @Test
    void requestServedLongAgoDoesNotExtendTheLease() {
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
