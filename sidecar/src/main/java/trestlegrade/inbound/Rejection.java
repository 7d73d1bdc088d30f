package trestlegrade.inbound;

/** Why a request is rejected: the status of the response, and the reason for which the connection ends. */
enum Rejection {
    MALFORMED_REQUEST(400, ConnectionEndReason.MALFORMED_REQUEST),
    UNKNOWN_PROFILE(404, ConnectionEndReason.UNKNOWN_PROFILE),
    REQUEST_TIMEOUT(408, ConnectionEndReason.REQUEST_TIMEOUT),
    /** Endpoints could not distinguish two open transactions with the same trace id. */
    TRACE_ID_IN_USE(409, ConnectionEndReason.TRACE_ID_IN_USE),
    BODY_TOO_LARGE(413, ConnectionEndReason.BODY_TOO_LARGE),
    REQUEST_LINE_TOO_LONG(414, ConnectionEndReason.MALFORMED_REQUEST),
    HEADERS_TOO_LARGE(431, ConnectionEndReason.MALFORMED_REQUEST),
    NO_MEMORY(503, ConnectionEndReason.NO_MEMORY),
    /** The end of the connection was already decided when the request arrived; that reason is kept. */
    CONNECTION_ENDING(503, null);

    private final int status;
    private final ConnectionEndReason endReason;

    Rejection(int status, ConnectionEndReason endReason) {
        this.status = status;
        this.endReason = endReason;
    }

    /** Returns the HTTP status of the response. */
    int status() {
        return status;
    }

    /** Returns the reason for which the connection ends: {@code current} if the rejection has no reason of its own. */
    ConnectionEndReason endReason(ConnectionEndReason current) {
        return endReason == null ? current : endReason;
    }
}
