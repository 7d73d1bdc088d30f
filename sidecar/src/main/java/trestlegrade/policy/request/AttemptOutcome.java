package trestlegrade.policy.request;

/** How an attempt ended, and whether that proves that the endpoint never ran the transaction. */
public enum AttemptOutcome {
    COMMITTED(false),
    ERROR(false),
    TURNED_AWAY(true),
    TIMED_OUT(false),
    NO_CONNECTION(true),
    BROKEN(false),
    CALLED_OFF(false),
    NOT_SENT(true);

    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
