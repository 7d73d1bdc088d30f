package trestlegrade.inbound;

/** Why a client connection ended. Logs and counters identify each reason by its {@link #code()}. */
enum ConnectionEndReason {
    /** The client closed the connection between two transactions. */
    CLIENT_CLOSED("client-closed"),
    /** The client closed the connection while a request was being read or a transaction was open. */
    CLIENT_DISCONNECTED("client-left"),
    /** The client sent something other than a valid HTTP request. */
    MALFORMED_REQUEST("malformed"),
    /** A request body is longer than {@link InboundHttpServer#MAX_BODY_BYTES}. */
    BODY_TOO_LARGE("oversized"),
    /** The memory for requests is exhausted. */
    NO_MEMORY("no-memory"),
    /** Another transaction is open under the same trace id. */
    TRACE_ID_IN_USE("id-taken"),
    /** The request names no profile of the settings. */
    UNKNOWN_PROFILE("unknown-profile"),
    /** The client pipelined more than the limit of {@link PipeliningHandler}. */
    PIPELINE_OVERFLOW("too-far-ahead"),
    /** The connection was accepted when too few descriptors were left to keep it open. */
    NO_CAPACITY("too-many"),
    /** Too many connections were open to keep this one alive after its response. */
    ABOVE_KEEP_ALIVE_LIMIT("crowd"),
    /** The connection was idle and was closed because another one needed its descriptor. */
    EVICTED("room"),
    /** The client did not send the rest of a request in time. */
    REQUEST_TIMEOUT("slow"),
    /** The client connected but sent nothing within the idle limit. */
    NEVER_USED("silent"),
    /** The connection was idle for longer than the idle limit. */
    IDLE("unused"),
    /** The client did not read its response in time. */
    RESPONSE_NOT_READ("unread"),
    /** The process is shutting down. */
    SHUTTING_DOWN("draining");

    private final String code;

    ConnectionEndReason(String code) {
        this.code = code;
    }

    /** The identifier of the reason in logs and counters. */
    String code() {
        return code;
    }
}
