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
 * Selects the endpoint of an attempt. It starts at a random ring position (as in the design) or at the position of the
 * key, and takes the next point whose endpoint meets the criteria of the current {@link SelectionPass}. Rules 2, 3 and
 * 4 are checked for every endpoint. Allocates nothing.
 */
public final class EndpointSelector {
    /** A key moves away from an endpoint whose drop rate exceeds this. */
    private static final double MAX_EVEN_LOAD_DROP_RATE = 0.5;
    /**
     * All selections require even load while the expected wait is at least this fraction of the latency objective,
     * because it is then close to what every profile permits.
     */
    private static final double EVEN_LOAD_WAIT_RATIO = 0.15;
    /**
     * A key stays at its endpoint while the reported load is up to half above the mean, because reported load is a
     * second old.
     */
    private static final double MAX_REPORTED_LOAD_RATIO = 1.5;
    /**
     * Multiple of the mean attempts in flight above which an endpoint is overloaded; the same number of attempts is
     * tolerated in addition.
     */
    private static final double OVERLOAD_FACTOR = 2;

    private final PolicySettings settings;
    private final EndpointTable endpoints;
    private final FleetSummary fleet;
    private final RingLayout layout;
    private final ZoneAffinity zoneAffinity;
    private final LoadShedder loadShedder;
    private final SilenceDetector silenceDetector;
    private final RetryPolicy retryPolicy;
    private final SlowStartBudget slowStartBudget;
    private final EndpointListLease lease;
    private final SeededRandom random;

    /** By endpoint index: the number of the scan that last visited the endpoint. */
    private long[] visitedInScan = new long[0];

    private long scanNumber;
    private boolean localOnly;
    private boolean suspectsExcluded;
    private double meanInFlightPerWeight;

    /**
     * Creates a selector that changes only the random source. Each selection draws one number, in addition to those of
     * zone affinity and slow start.
     */
    public EndpointSelector(
            PolicySettings settings,
            EndpointTable endpoints,
            FleetSummary fleet,
            RingLayout layout,
            ZoneAffinity zoneAffinity,
            LoadShedder loadShedder,
            SilenceDetector silenceDetector,
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
        this.silenceDetector = silenceDetector;
        this.retryPolicy = retryPolicy;
        this.slowStartBudget = slowStartBudget;
        this.lease = lease;
        this.random = random;
    }

    /** Returns the endpoint for the transaction's next attempt, or null if none may take it. */
    public Endpoint select(long now, Transaction transaction) {
        HashRing ring = layout.ring();
        int randomIndex = (int) (random.next() * ring.size());
        // Only the first attempt uses the key, because a retry at the same endpoint is the least likely to succeed.
        boolean keyed = transaction.keyPosition() != Transaction.NO_KEY_POSITION && !transaction.hasAttempts();
        prepare(transaction);
        for (SelectionPass pass : SelectionPass.IN_ORDER) {
            boolean byKey = keyed && pass.requiresEvenLoad();
            if (pass.requiresEvenLoad() && !keyed && loadShedder.waitObjectiveRatio() < EVEN_LOAD_WAIT_RATIO) {
                continue;
            }
            int start = byKey ? ring.indexAtOrAfter(transaction.keyPosition()) : randomIndex;
            Endpoint endpoint = scan(now, transaction, pass, ring, start);
            if (endpoint != null) {
                return endpoint;
            }
        }
        return null;
    }

    private void prepare(Transaction transaction) {
        suspectsExcluded = retryPolicy.isNonIdempotent(transaction);
        localOnly = zoneAffinity.drawLocalOnly();
        double weight = fleet.warmWeight() > 0 ? fleet.warmWeight() : fleet.weightInUse();
        meanInFlightPerWeight = silenceDetector.attemptsInFlight() / Math.max(weight, 1e-9);
        if (visitedInScan.length < endpoints.size()) {
            visitedInScan = Arrays.copyOf(visitedInScan, 2 * endpoints.size());
        }
    }

    /** Checks each endpoint at most once, so that an unsuccessful scan of a large fleet stays short. */
    private Endpoint scan(long now, Transaction transaction, SelectionPass pass, HashRing ring, int start) {
        scanNumber++;
        int points = ring.size();
        int remaining = fleet.inUse();
        for (int i = 0; i < points && remaining > 0; i++) {
            int index = start + i < points ? start + i : start + i - points;
            Endpoint endpoint = endpoints.get(ring.endpointIndex(index));
            if (visitedInScan[endpoint.index()] == scanNumber
                    || ring.ordinal(index) >= endpoint.effectiveRingPoints()) {
                continue;
            }
            visitedInScan[endpoint.index()] = scanNumber;
            remaining--;
            // The probabilistic ramp-up applies in the passes that require health; later passes are limited by the
            // budget only.
            if (meets(now, transaction, endpoint, pass)
                    && slowStartBudget.admits(now, transaction, endpoint, pass.requiresHealthy())) {
                return endpoint;
            }
        }
        return null;
    }

    private boolean meets(long now, Transaction transaction, Endpoint endpoint, SelectionPass pass) {
        return now < lease.expiresAt(endpoint.servingState().servedAt())
                && !(pass.requiresNotEjected() && endpoint.ejection().isEjected())
                && !(pass.requiresLocal() && (isOutsideLocalZone(endpoint) || isOverloaded(endpoint)))
                && !(pass.requiresEvenLoad() && isUnevenlyLoaded(now, endpoint))
                && !(pass.requiresHealthy() && isUnhealthy(now, transaction, endpoint))
                && retryPolicy.maySend(now, transaction, endpoint)
                && !(pass.requiresNotEjected() && transaction.wasSentTo(endpoint));
    }

    private boolean isOutsideLocalZone(Endpoint endpoint) {
        return localOnly && endpoint.zone() != settings.zone();
    }

    private boolean isOverloaded(Endpoint endpoint) {
        return endpoint.inFlight() > OVERLOAD_FACTOR * meanInFlightPerWeight * endpoint.weight() + OVERLOAD_FACTOR;
    }

    private boolean isUnevenlyLoaded(long now, Endpoint endpoint) {
        return endpoint.dropRate().value() > MAX_EVEN_LOAD_DROP_RATE
                || endpoint.inFlight() >= meanInFlightPerWeight * endpoint.weight() + 0.5
                || endpoint.reportedLoad(now) > MAX_REPORTED_LOAD_RATIO * (fleet.meanReportedLoad() + 1);
    }

    private boolean isUnhealthy(long now, Transaction transaction, Endpoint endpoint) {
        boolean suspect = endpoint.calls().consecutiveFailures() > 0 || SilenceDetector.isSuspect(endpoint);
        return (suspectsExcluded && suspect)
                || endpoint.calls().profileFailureRatio(now, transaction.profile())
                        > OutlierEjection.HIGH_FAILURE_RATIO;
    }
}
