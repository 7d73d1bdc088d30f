package trestlegrade.policy.health;

import trestlegrade.policy.admission.SlowStartBudget;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.retry.RetryPolicy;

/**
 * Sends a few first attempts as half-open probes to ejected endpoints, one at a time to each, so that the endpoints can
 * be reinstated. Only idempotent transactions are used, because they can be repeated if the probe fails. Rules 3 and 4
 * apply to probes too.
 */
public final class HalfOpenProbes {
    /**
     * The maximum fraction of first attempts that become probes: a quarter of what the retry budget adds per arrival.
     */
    private static final double MAX_PROBE_FRACTION = 0.05;

    private final EndpointTable endpoints;
    private final FleetSummary fleet;
    private final RetryPolicy retryPolicy;
    private final SlowStartBudget slowStartBudget;
    private final EndpointListLease lease;
    private final SeededRandom random;

    /** Creates a probe policy, which draws from the random source while any endpoint is ejected. */
    public HalfOpenProbes(
            EndpointTable endpoints,
            FleetSummary fleet,
            RetryPolicy retryPolicy,
            SlowStartBudget slowStartBudget,
            EndpointListLease lease,
            SeededRandom random) {
        this.endpoints = endpoints;
        this.fleet = fleet;
        this.retryPolicy = retryPolicy;
        this.slowStartBudget = slowStartBudget;
        this.lease = lease;
        this.random = random;
    }

    /** Returns the ejected endpoint that this transaction is to probe, or null. */
    public Endpoint endpointToProbe(long now, Transaction transaction) {
        if (fleet.ejected() == 0
                || transaction.hasAttempts()
                || random.next() >= MAX_PROBE_FRACTION
                || !retryPolicy.isIdempotent(transaction)) {
            return null;
        }
        for (int i = 0; i < endpoints.size(); i++) {
            Endpoint endpoint = endpoints.get(i);
            if (endpoint.isInUse()
                    && endpoint.ejection().isProbeDue(now)
                    && now < lease.expiresAt(endpoint.servingState().servedAt())
                    && slowStartBudget.admits(now, transaction, endpoint, false)) {
                return endpoint;
            }
        }
        return null;
    }
}
