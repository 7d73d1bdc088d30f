package trestlegrade.policy.admission;

/** What is in flight to endpoints that are warm and not ejected. */
public interface InFlightSummary {
    /** Attempts in flight: counted at the latest tick, and kept since. */
    int steady();

    /** Those of them at endpoints under suspicion of silence, as of the latest tick. */
    int suspect();

    /** The ages of those that count for the wait, added up, in ticks of 0.1 ms. */
    double ageSumTicks();
}
