package trestlegrade.policy.admission;

/** Summarizes the attempts in flight at endpoints that are warm and not ejected. */
public interface InFlightSummary {
    /** Returns the number of attempts in flight; it is recounted at each tick and updated in between. */
    int attemptsInFlight();

    /** Returns how many of them were at endpoints suspected of being silent, as of the latest tick. */
    int suspectAttempts();

    /** Returns the sum of the ages, in ticks of 0.1 ms, of the attempts that count towards the expected wait. */
    double ageSumTicks();
}
