package trestlegrade.policy.endpoint;

import trestlegrade.policy.estimate.DecayingValue;
import trestlegrade.policy.request.Attempt;
import trestlegrade.policy.settings.PolicySettings;

/**
 * One endpoint as one sidecar knows it: what the list says and what is in flight to it. Each other concern has its own
 * state object, which only the decision of the same concern changes. Times are ticks of 0.1 ms.
 */
public final class Endpoint {
    private static final double REPORTED_LOAD_HALF_LIFE = 30_000;

    private final long id;
    private final int index;

    private final CallStatistics calls;
    private final SlowStart slowStart;
    private final DropRate dropRate = new DropRate();
    private final SilenceState silence = new SilenceState();
    private final EjectionState ejection = new EjectionState();
    private final ServingState servingState = new ServingState();
    private final DecayingValue reportedLoad = new DecayingValue(REPORTED_LOAD_HALF_LIFE);

    private int zone;
    private int cell;
    private InstanceType type;
    private double weight = 1;
    private double listedWeight = 1;
    private boolean ready;
    private boolean gone;

    private boolean inUse;
    private int ringPoints;
    private int laidRingPoints;
    private int inFlight;

    /** Begins an endpoint of which nothing is known yet; {@code index} is its place in the table. */
    public Endpoint(long id, int index, PolicySettings settings) {
        this.id = id;
        this.index = index;
        calls = new CallStatistics(settings.profiles().size());
        slowStart = new SlowStart(settings);
    }

    /** Takes what the list says of it; without {@code weighted} all weights are 1. */
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
     * Reads the load out of a weight that the list lowers by it: the size is the largest weight that the type ever had.
     * Peaks of load are remembered for a while, for an overloaded endpoint that was left alone recovers, and would be
     * filled again at once.
     */
    void readLoadFromWeight(long now) {
        weight = type.largestWeight();
        reportedLoad.set(now, Math.max(reportedLoad.at(now), weight / listedWeight - 1));
    }

    /** It has left the list. */
    void leave() {
        ready = false;
        inUse = false;
        gone = true;
    }

    /** Forgets what was measured before it started again. */
    void onRestart(long now, long launchedAt, double initialDropRate) {
        dropRate.onRestart(initialDropRate);
        calls.onRestart(now);
        slowStart.onRestart(now, launchedAt);
        ejection.onRestart();
        servingState.onRestart();
        reportedLoad.set(now, 0);
    }

    /** An attempt is sent to it. */
    public void onSent(long now, double work, boolean probe) {
        calls.onSent(now, inFlight == 0);
        inFlight++;
        slowStart.onSent(now, work);
        if (probe) {
            ejection.onProbeSent();
        }
    }

    /** An attempt at it is no longer in flight, whatever its outcome. */
    public void onAttemptEnded(long now, Attempt attempt) {
        inFlight--;
        if (attempt.isProbe()) {
            ejection.onProbeEnded();
        }
        servingState.onAttemptEnded(now, attempt.sentAt(), attempt.outcome());
    }

    /** An attempt at it succeeded while it was ejected; returns whether it is taken back with that. */
    public boolean onSuccessWhileEjected(long now) {
        boolean takenBack = ejection.onSuccess(now);
        if (takenBack) {
            calls.clearFailures();
        }
        return takenBack;
    }

    /** Warm and not ejected: what the wait and the mean load are measured on. */
    public boolean isSteady(long now) {
        return !ejection.isEjected() && slowStart.fraction(now) >= 1;
    }

    /** Points left by the drop rate, over the design's minimum of one. */
    public int liveRingPoints() {
        return Math.max(1, (int) Math.round(ringPoints * (1 - dropRate.value())));
    }

    /** Whether its place in the table can be reused: no attempt and no point on the ring refers to it any more. */
    boolean isVacant() {
        return gone && inFlight == 0 && laidRingPoints == 0;
    }

    /** The id that the list gives it. */
    public long id() {
        return id;
    }

    /** Its place in the table. */
    public int index() {
        return index;
    }

    /** The zone that the list names. */
    public int zone() {
        return zone;
    }

    /** The cell that the list names; endpoints of one cell may share a journal. */
    public int cell() {
        return cell;
    }

    /** Its instance type. */
    public InstanceType type() {
        return type;
    }

    /** Its size relative to other endpoints; 1 where the list gives none. */
    public double weight() {
        return weight;
    }

    /** Transactions in flight there for each core, as the list reports them, decaying since. */
    public double reportedLoad(long now) {
        return reportedLoad.at(now);
    }

    public boolean isReady() {
        return ready;
    }

    /** Whether this sidecar sends to it at all. */
    public boolean isInUse() {
        return inUse;
    }

    /** Takes it into the subset that this sidecar sends to, or out of it. */
    public void setInUse(boolean use) {
        inUse = use;
    }

    /** Points on the ring while its drop rate is 0. */
    public int ringPoints() {
        return ringPoints;
    }

    /** Sets the number of points that it shall have on the ring. */
    public void setRingPoints(int points) {
        ringPoints = points;
    }

    /** Points that it has on the ring now. */
    public int laidRingPoints() {
        return laidRingPoints;
    }

    /** Its points have been laid. */
    public void onRingLaid() {
        laidRingPoints = ringPoints;
    }

    /** Attempts of this sidecar in flight to it. */
    public int inFlight() {
        return inFlight;
    }

    /** What its calls showed. */
    public CallStatistics calls() {
        return calls;
    }

    /** How far it has warmed up. */
    public SlowStart slowStart() {
        return slowStart;
    }

    /** Its drop rate. */
    public DropRate dropRate() {
        return dropRate;
    }

    /** Its silence as of the latest tick. */
    public SilenceState silence() {
        return silence;
    }

    /** Whether it is ejected. */
    public EjectionState ejection() {
        return ejection;
    }

    /** What is proven of whether it takes new requests. */
    public ServingState servingState() {
        return servingState;
    }
}
