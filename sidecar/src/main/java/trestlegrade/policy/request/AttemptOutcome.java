package trestlegrade.policy.request;

/** How an attempt ended, and whether the outcome proves that the endpoint never executed the transaction. */
public enum AttemptOutcome {
    /** Status 200. */
    COMMITTED(false),
    /** A complete response other than those of {@link #COMMITTED} and {@link #REJECTED}. */
    ERROR(false),
    /** Status 503 or 504 with {@code X-Never-Ran: 1}: the endpoint rejected the request without processing it. */
    REJECTED(true),
    /** The request was written, but no complete response arrived in time. */
    TIMED_OUT(false),
    /** Connecting failed or timed out, or the connection broke before the last byte of the request was written. */
    NO_CONNECTION(true),
    /** The connection broke after the request was written and before the response was complete. */
    BROKEN(false),
    /** Cancelled by this sidecar. */
    CANCELLED(false),
    /**
     * Not written by this sidecar, because the client disconnected, no file descriptor was free, the endpoint was
     * draining, or the lease had expired.
     */
    NOT_SENT(true);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Returns whether the endpoint certainly did not execute the transaction. */
    public boolean neverRan() {
        return neverRan;
    }

    /** Returns whether the attempt reached the endpoint, as far as is known, and so caused work there. */
    public boolean reachedEndpoint() {
        return this != NO_CONNECTION && this != NOT_SENT;
    }

    /** Returns whether this sidecar ended the attempt before it could provide information about the endpoint. */
    public boolean isUninformative() {
        return this == CANCELLED || this == NOT_SENT;
    }
}
