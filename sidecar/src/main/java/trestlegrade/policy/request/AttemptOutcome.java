package trestlegrade.policy.request;

/** How an attempt ended, and whether that proves that the endpoint never ran the transaction. */
public enum AttemptOutcome {
    /** Status 200. */
    COMMITTED(false),
    /** Any other complete response. */
    ERROR(false),
    /** 503 or 504 with X-Never-Ran: 1: the endpoint rejected it unprocessed. */
    REJECTED(true),
    /** No complete response in time; it was written. */
    TIMED_OUT(false),
    /** The connection failed, timed out or broke before the last byte was written. */
    NO_CONNECTION(true),
    /** The connection broke before the response was complete. */
    BROKEN(false),
    /** Cancelled by this sidecar. */
    CANCELLED(false),
    /** Given up by this sidecar before it was written: client gone, no descriptor, endpoint draining, lease over. */
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
