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

/** Places each attempt: at an ejected endpoint as a half-open probe, else where the {@link EndpointSelector} picks. */
final class AttemptPlacer {
    private final AttemptMonitor monitor;
    private final HalfOpenProbes halfOpenProbes;
    private final RingLayout ringLayout;
    private final EndpointSelector endpointSelector;

    /** A first attempt found no endpoint in this tick: the others are spared a search that would fail as well. */
    private boolean noEndpointThisTick;

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

    /** The endpoint list has changed. */
    void onEndpointUpdates() {
        ringLayout.onEndpointUpdates();
    }

    /** What could not be placed is about to be tried again. */
    void beforeWaitingPlacedAgain() {
        noEndpointThisTick = false;
    }

    /** The transaction's next attempt, not sent yet, or null if no endpoint may take it now. */
    Attempt place(long now, Transaction transaction) {
        boolean first = !transaction.hasAttempts();
        if (first && noEndpointThisTick) {
            return null;
        }
        Endpoint probed = halfOpenProbes.endpointToProbe(now, transaction);
        if (probed != null) {
            return attempt(now, transaction, probed, true);
        }
        ringLayout.refresh(monitor.lastTickAt());
        Endpoint selected = endpointSelector.select(now, transaction);
        if (selected != null) {
            return attempt(now, transaction, selected, false);
        }
        noEndpointThisTick |= first;
        return null;
    }

    private Attempt attempt(long now, Transaction transaction, Endpoint endpoint, boolean probe) {
        double expected = monitor.latency().expectedTicks(transaction.profile(), transaction.costHint());
        return new Attempt(endpoint, now, expected, probe);
    }
}
