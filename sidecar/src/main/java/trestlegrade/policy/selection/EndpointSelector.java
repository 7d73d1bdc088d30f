package trestlegrade.policy.selection;

import java.util.Arrays;
import trestlegrade.policy.admission.LoadShedder;
import trestlegrade.policy.admission.SlowStartBudget;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointTable;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.health.OutlierEjection;
import trestlegrade.policy.health.SilenceDetector;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.retry.RetryPolicy;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Picks the endpoint of an attempt: a random ring position (the design), or the key's, and from there the next point
 * whose endpoint meets the criteria of the pass; {@link SelectionPass} by pass. Rules 2, 3 and 4 are asked for every
 * endpoint. Allocates nothing.
 */
public final class EndpointSelector {
    /** A key leaves an endpoint that has been graded down by half. */
    private static final double HIGH_DROP_RATE = 0.5;
    /** Of the latency objective: once the wait nears what every profile permits, all picks keep to even load. */
    private static final double LONG_WAIT = 0.15;
    /** Reported load is a second old: a key stays while its endpoint holds up to half more than the mean. */
    private static final double HIGH_REPORTED_LOAD = 1.5;
    /** Attempts in flight over the mean at which an endpoint is overloaded. */
    private static final double OVERLOAD = 2;

    private final PolicySettings settings;
    private final EndpointTable endpoints;
    private final FleetSummary fleet;
    private final RingLayout layout;
    private final ZoneAffinity zoneAffinity;
    private final LoadShedder loadShedder;
    private final SilenceDetector silence;
    private final RetryPolicy retryPolicy;
    private final SlowStartBudget slowStartBudget;
    private final EndpointListLease lease;
    private final SeededRandom random;

    /** By endpoint index: the walk in which it was last asked. */
    private long[] askedInWalk = new long[0];

    private long walk;
    private boolean staysLocal;
    private boolean suspectsExcluded;
    private double meanInFlightPerWeight;

    /** Changes none of these but the random source: one number a pick, and those of zone affinity and slow start. */
    public EndpointSelector(
            PolicySettings settings,
            EndpointTable endpoints,
            FleetSummary fleet,
            RingLayout layout,
            ZoneAffinity zoneAffinity,
            LoadShedder loadShedder,
            SilenceDetector silence,
            RetryPolicy retryPolicy,
            SlowStartBudget slowStartBudget,
            EndpointListLease lease,
            SeededRandom random) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.fleet = fleet;
        this.layout = layout;
        this.zoneAffinity = zoneAffinity;
        this.loadShedder = loadShedder;
        this.silence = silence;
        this.retryPolicy = retryPolicy;
        this.slowStartBudget = slowStartBudget;
        this.lease = lease;
        this.random = random;
    }

    /** The endpoint that the transaction's next attempt shall go to, or null if none may take it. */
    public Endpoint select(long now, Transaction transaction) {
        HashRing ring = layout.ring();
        int randomPlace = (int) (random.next() * ring.size());
        // A key is left after the first attempt: a retry at the same endpoint is the least likely to succeed.
        boolean keyed = transaction.keyPosition() != Transaction.NO_KEY_POSITION && !transaction.hasAttempts();
        prepare(transaction);
        for (SelectionPass pass : SelectionPass.IN_ORDER) {
            boolean byKey = keyed && pass.needsEvenLoad();
            if (pass.needsEvenLoad() && !keyed && loadShedder.waitOverObjective() < LONG_WAIT) {
                continue;
            }
            int start = byKey ? ring.placeFrom(transaction.keyPosition()) : randomPlace;
            Endpoint endpoint = walk(now, transaction, pass, ring, start);
            if (endpoint != null) {
                return endpoint;
            }
        }
        return null;
    }

    private void prepare(Transaction transaction) {
        suspectsExcluded = retryPolicy.isNonIdempotent(transaction);
        staysLocal = zoneAffinity.drawStaysLocal();
        double weight = fleet.steadyWeight() > 0 ? fleet.steadyWeight() : fleet.weightInUse();
        meanInFlightPerWeight = silence.steady() / Math.max(weight, 1e-9);
        if (askedInWalk.length < endpoints.size()) {
            askedInWalk = Arrays.copyOf(askedInWalk, 2 * endpoints.size());
        }
    }

    /** Asks each endpoint once at the most, so that a walk in vain over a large fleet stays short. */
    private Endpoint walk(long now, Transaction transaction, SelectionPass pass, HashRing ring, int start) {
        walk++;
        int points = ring.size();
        int left = fleet.inUse();
        for (int i = 0; i < points && left > 0; i++) {
            int place = start + i < points ? start + i : start + i - points;
            Endpoint endpoint = endpoints.get(ring.endpointIndex(place));
            if (askedInWalk[endpoint.index()] == walk || ring.ordinal(place) >= endpoint.liveRingPoints()) {
                continue;
            }
            askedInWalk[endpoint.index()] = walk;
            left--;
            // The ramp holds in the passes that need health; later passes are bound by the budget alone.
            if (meets(now, transaction, endpoint, pass)
                    && slowStartBudget.admits(now, transaction, endpoint, pass.needsHealth())) {
                return endpoint;
            }
        }
        return null;
    }

    private boolean meets(long now, Transaction transaction, Endpoint endpoint, SelectionPass pass) {
        return now < lease.expiresAt(endpoint.servingState().servedAt())
                && !(pass.needsNotEjected() && endpoint.ejection().isEjected())
                && !(pass.needsLocality() && (isElsewhere(endpoint) || isOverloaded(endpoint)))
                && !(pass.needsEvenLoad() && isUnevenlyLoaded(now, endpoint))
                && !(pass.needsHealth() && isUnhealthy(now, transaction, endpoint))
                && retryPolicy.maySend(now, transaction, endpoint)
                && !(pass.needsNotEjected() && transaction.wasSentTo(endpoint));
    }

    private boolean isElsewhere(Endpoint endpoint) {
        return staysLocal && endpoint.zone() != settings.zone();
    }

    private boolean isOverloaded(Endpoint endpoint) {
        return endpoint.inFlight() > OVERLOAD * meanInFlightPerWeight * endpoint.weight() + OVERLOAD;
    }

    private boolean isUnevenlyLoaded(long now, Endpoint endpoint) {
        return endpoint.dropRate().value() > HIGH_DROP_RATE
                || endpoint.inFlight() >= meanInFlightPerWeight * endpoint.weight() + 0.5
                || endpoint.reportedLoad(now) > HIGH_REPORTED_LOAD * (fleet.meanReportedLoad() + 1);
    }

    private boolean isUnhealthy(long now, Transaction transaction, Endpoint endpoint) {
        boolean suspect = endpoint.calls().consecutiveFailures() > 0 || SilenceDetector.isSuspect(endpoint);
        return (suspectsExcluded && suspect)
                || endpoint.calls().profileFailureShare(now, transaction.profile()) > OutlierEjection.FAILED_PART;
    }
}
