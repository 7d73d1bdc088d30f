package trestlegrade.policy.request;

/** How an attempt ended, and whether that proves that the endpoint never ran the transaction. */
public enum AttemptOutcome {
    COMMITTED(false),
    ERROR(false),
    /** The endpoint rejected it unprocessed. */
    REJECTED(true),
    TIMED_OUT(false),
    NO_CONNECTION(true),
    /** The connection broke before the response was complete. */
    BROKEN(false),
    /** Cancelled by this sidecar. */
    CANCELLED(false),
    /** Never written: the connection came too late. */
    NOT_SENT(true);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether the endpoint certainly did not run the transaction. */
    public boolean neverRan() {
        return neverRan;
    }

    /** Whether the attempt cost the endpoint work: it was reached, as far as is known. */
    public boolean reachedEndpoint() {
        return this != NO_CONNECTION && this != NOT_SENT;
    }

    /** Whether this sidecar ended the attempt before it could tell anything of the endpoint. */
    public boolean isUninformative() {
        return this == CANCELLED || this == NOT_SENT;
    }
}
