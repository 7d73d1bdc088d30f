package trestlegrade.policy;

import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.health.HalfOpenProbes;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.retry.RetryPolicy;
import trestlegrade.policy.selection.EndpointSelector;
import trestlegrade.policy.selection.RingLayout;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Chooses the endpoint of each attempt: an ejected endpoint if a half-open probe is due, otherwise the endpoint that
 * the {@link EndpointSelector} selects.
 */
final class AttemptPlacer {
    private final AttemptMonitor monitor;
    private final HalfOpenProbes halfOpenProbes;
    private final RingLayout ringLayout;
    private final EndpointSelector endpointSelector;

    /**
     * Set once a first attempt has found no endpoint. Further first attempts skip the search until waiting transactions
     * are placed again, because it would fail as well.
     */
    private boolean noEndpointFound;

    AttemptPlacer(
            PolicySettings settings,
            EndpointTable endpoints,
            AttemptMonitor monitor,
            RetryPolicy retryPolicy,
            EndpointListLease lease,
            SeededRandom random) {
        this.monitor = monitor;
        halfOpenProbes =
                new HalfOpenProbes(endpoints, monitor.fleet(), retryPolicy, monitor.slowStartBudget(), lease, random);
        ringLayout = new RingLayout(endpoints, monitor.fleet(), settings, random);
        endpointSelector = new EndpointSelector(
                settings,
                endpoints,
                monitor.fleet(),
                ringLayout,
                monitor.zoneAffinity(),
                monitor.loadShedder(),
                monitor.silenceDetector(),
                retryPolicy,
                monitor.slowStartBudget(),
                lease,
                random);
    }

    /** Called when the endpoint list has changed. */
    void onEndpointUpdates() {
        ringLayout.onEndpointUpdates();
    }

    /** Must be called before waiting transactions are placed again. */
    void beforeWaitingRetried() {
        noEndpointFound = false;
    }

    /** Returns the transaction's next attempt, which is not sent yet, or null if no endpoint may take it now. */
    Attempt place(long now, Transaction transaction) {
        boolean first = !transaction.hasAttempts();
        if (first && noEndpointFound) {
            return null;
        }
        Endpoint probed = halfOpenProbes.endpointToProbe(now, transaction);
        if (probed != null) {
            return newAttempt(now, transaction, probed, true);
        }
        ringLayout.refresh(monitor.lastTickAt());
        Endpoint selected = endpointSelector.select(now, transaction);
        if (selected != null) {
            return newAttempt(now, transaction, selected, false);
        }
        noEndpointFound |= first;
        return null;
    }

    private Attempt newAttempt(long now, Transaction transaction, Endpoint endpoint, boolean probe) {
        double expected = monitor.latency().expectedTicks(transaction.profile(), transaction.costHint());
        return new Attempt(endpoint, now, expected, probe);
    }
}
