package trestlegrade.inbound;

/** Why a request does not become a transaction: the status that answers it, and why its connection ends with that. */
enum Rejection {
    MALFORMED_REQUEST(400, ConnectionEndReason.MALFORMED_REQUEST),
    UNKNOWN_PROFILE(404, ConnectionEndReason.UNKNOWN_PROFILE),
    REQUEST_TIMEOUT(408, ConnectionEndReason.REQUEST_TIMEOUT),
    /** Endpoints could not tell apart two open transactions of one trace id. */
    TRACE_ID_IN_USE(409, ConnectionEndReason.TRACE_ID_IN_USE),
    BODY_TOO_LARGE(413, ConnectionEndReason.BODY_TOO_LARGE),
    REQUEST_LINE_TOO_LONG(414, ConnectionEndReason.MALFORMED_REQUEST),
    HEADERS_TOO_LARGE(431, ConnectionEndReason.MALFORMED_REQUEST),
    NO_BODY_MEMORY(503, ConnectionEndReason.NO_BODY_MEMORY),
    /** Its connection was to end before the request came: that reason stays. */
    CONNECTION_ENDING(503, null);

    private final int status;
    private final ConnectionEndReason endReason;

    Rejection(int status, ConnectionEndReason endReason) {
        this.status = status;
        this.endReason = endReason;
    }

    /** The HTTP status that answers the request. */
    int status() {
        return status;
    }

    /** Why the connection ends; {@code current}, the reason it had before, where the rejection has none of its own. */
    ConnectionEndReason endReason(ConnectionEndReason current) {
        return endReason == null ? current : endReason;
    }
}
