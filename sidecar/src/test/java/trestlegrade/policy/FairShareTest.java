package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.Transaction;

/** Tests the quotas of customers. */
class FairShareTest {

    /**
     * Customers that the settings do not name do not use up the quota of a named one, and are over their own quota of
     * 0.
     */
    @Test
    void unnamedCustomersShareNoQuotaWithNamedOnes() {
        PolicyHarness harness = new PolicyHarness("tenants.count=2", "tenants.0.share=0.5", "tenants.1.share=0.5")
                .fleet(State.READY, 0);
        for (int i = 0; i < 100; i++) {
            harness.loadBalancer.onArrival(
                    harness.now, 1_000 + i, 0, i % 10 == 0 ? 0 : i % 10 == 1 ? 1 : i % 10 == 2 ? 7 : -1, 0, 10_000, 0);
        }
        assertFalse(harness.loadBalancer
                .fairShare()
                .isOverQuota(harness.now, new Transaction(1, 0, 0, harness.now, harness.now + 10_000, 0)));
        assertFalse(harness.loadBalancer
                .fairShare()
                .isOverQuota(harness.now, new Transaction(1, 0, 1, harness.now, harness.now + 10_000, 0)));
        assertTrue(harness.loadBalancer
                .fairShare()
                .isOverQuota(harness.now, new Transaction(1, 0, 2, harness.now, harness.now + 10_000, 0)));
    }
}
