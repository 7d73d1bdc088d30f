package trestlegrade.policy.endpoint;

import trestlegrade.policy.estimate.DecayingValue;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.settings.PolicySettings;

/**
 * One endpoint as seen by one sidecar: its entry in the endpoint list and the attempts in flight to it. Each other
 * concern has its own state object, which only the policy class of that concern changes. Times are ticks of 0.1 ms.
 */
public final class Endpoint {
    private static final double REPORTED_LOAD_HALF_LIFE_TICKS = 30_000;

    private final long id;
    private final int index;

    private final CallStatistics calls;
    private final SlowStart slowStart;
    private final DropRate dropRate = new DropRate();
    private final SilenceState silence = new SilenceState();
    private final EjectionState ejection = new EjectionState();
    private final ServingState servingState = new ServingState();
    private final DecayingValue reportedLoad = new DecayingValue(REPORTED_LOAD_HALF_LIFE_TICKS);

    private int zone;
    private int cell;
    private InstanceType type;
    private double weight = 1;
    private double listedWeight = 1;
    private boolean ready;
    private boolean gone;

    private boolean inUse;
    private int ringPoints;
    private int builtRingPoints;
    private int inFlight;

    /** Creates an endpoint without measurements; {@code index} is its index in the table. */
    public Endpoint(long id, int index, PolicySettings settings) {
        this.id = id;
        this.index = index;
        calls = new CallStatistics(settings.profiles().size());
        slowStart = new SlowStart(settings);
    }

    /** Applies the endpoint's entry in the list; if not {@code weighted}, the weight is 1. */
    void applyUpdate(EndpointUpdate update, InstanceType newType, boolean weighted) {
        ready = update.state() == EndpointUpdate.State.READY;
        gone = false;
        inUse &= ready;
        zone = update.zone();
        type = newType;
        cell = update.cell();
        slowStart.onUpdate(update.launchedAt());
        listedWeight = weighted && update.weight() > 0 ? update.weight() : 1;
        weight = listedWeight;
        type.onListedWeight(listedWeight);
    }

    /**
     * Derives the reported load from the listed weight, which decreases with the load. The maximum weight that the
     * instance type ever had is taken as the endpoint's size. Peaks of the load decay slowly, because an overloaded
     * endpoint that receives no requests recovers and would otherwise be overloaded again at once.
     */
    void updateReportedLoad(long now) {
        weight = type.maxWeight();
        reportedLoad.set(now, Math.max(reportedLoad.at(now), weight / listedWeight - 1));
    }

    /** Marks the endpoint as removed from the list. */
    void markGone() {
        ready = false;
        inUse = false;
        gone = true;
    }

    /** Discards what was measured before the endpoint's latest start. */
    void onRestart(long now, long launchedAt, double initialDropRate) {
        dropRate.onRestart(initialDropRate);
        calls.onRestart(now);
        slowStart.onRestart(now, launchedAt);
        ejection.onRestart();
        servingState.onRestart();
        reportedLoad.set(now, 0);
    }

    /** Called when an attempt is sent to the endpoint. */
    public void onSent(long now, double work, boolean probe) {
        calls.onSent(now, inFlight == 0);
        inFlight++;
        slowStart.onSent(now, work);
        if (probe) {
            ejection.onProbeSent();
        }
    }

    /** Called when an attempt at the endpoint is no longer in flight, whatever its outcome. */
    public void onAttemptEnded(long now, Attempt attempt) {
        inFlight--;
        if (attempt.isProbe()) {
            ejection.onProbeEnded();
        }
        servingState.onAttemptEnded(now, attempt.sentAt(), attempt.outcome());
    }

    /**
     * Called when an attempt has succeeded while the endpoint was ejected; returns whether this reinstates the
     * endpoint.
     */
    public boolean onSuccessWhileEjected(long now) {
        boolean reinstated = ejection.onSuccess(now);
        if (reinstated) {
            calls.clearFailures();
        }
        return reinstated;
    }

    /**
     * Returns whether the endpoint is warm and not ejected. Only such endpoints count for the expected wait and the
     * mean load.
     */
    public boolean isWarmAndNotEjected(long now) {
        return !ejection.isEjected() && slowStart.capacityFraction(now) >= 1;
    }

    /** Returns the ring points that remain after the drop rate is applied, at least the design's minimum of one. */
    public int effectiveRingPoints() {
        return Math.max(1, (int) Math.round(ringPoints * (1 - dropRate.value())));
    }

    /**
     * Returns whether another endpoint may take this endpoint's index, because no attempt and no ring point refers to
     * it.
     */
    boolean isReplaceable() {
        return gone && inFlight == 0 && builtRingPoints == 0;
    }

    /** Returns the id from the endpoint list. */
    public long id() {
        return id;
    }

    /** Returns the index in the table. */
    public int index() {
        return index;
    }

    /** Returns the zone from the endpoint list. */
    public int zone() {
        return zone;
    }

    /** Returns the cell from the endpoint list; the endpoints of one cell may share a journal. */
    public int cell() {
        return cell;
    }

    /** Returns the instance type. */
    public InstanceType type() {
        return type;
    }

    /** Returns the size relative to other endpoints; 1 if the list gives none. */
    public double weight() {
        return weight;
    }

    /** Returns the transactions in flight per core according to the list; the value decays after each report. */
    public double reportedLoad(long now) {
        return reportedLoad.at(now);
    }

    public boolean isReady() {
        return ready;
    }

    /** Returns whether the endpoint is in the subset to which this sidecar sends. */
    public boolean isInUse() {
        return inUse;
    }

    /** Adds the endpoint to the subset to which this sidecar sends, or removes it. */
    public void setInUse(boolean newInUse) {
        inUse = newInUse;
    }

    /** Returns the number of points that the endpoint has on the ring while its drop rate is 0. */
    public int ringPoints() {
        return ringPoints;
    }

    /** Sets the number of points for the next build of the ring. */
    public void setRingPoints(int newRingPoints) {
        ringPoints = newRingPoints;
    }

    /** Returns the number of points at the latest build of the ring. */
    public int builtRingPoints() {
        return builtRingPoints;
    }

    /** Called when the ring has been built with the endpoint's points. */
    public void onRingBuilt() {
        builtRingPoints = ringPoints;
    }

    /** Returns the number of this sidecar's attempts in flight to the endpoint. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the call statistics. */
    public CallStatistics calls() {
        return calls;
    }

    /** Returns the slow-start state. */
    public SlowStart slowStart() {
        return slowStart;
    }

    /** Returns the drop rate. */
    public DropRate dropRate() {
        return dropRate;
    }

    /** Returns the silence as of the latest tick. */
    public SilenceState silence() {
        return silence;
    }

    /** Returns the ejection state. */
    public EjectionState ejection() {
        return ejection;
    }

    /** Returns the state that shows whether the endpoint is known to serve new requests. */
    public ServingState servingState() {
        return servingState;
    }
}
