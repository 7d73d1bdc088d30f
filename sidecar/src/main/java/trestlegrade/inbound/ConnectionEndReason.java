package trestlegrade.inbound;

/** Why the connection of a client ended. The log and the counters name each reason by its {@link #code()}. */
enum ConnectionEndReason {
    /** The client closed it between two transactions. */
    CLIENT_CLOSED("client-closed"),
    /** The client closed it while a transaction was being read or was open. */
    CLIENT_DISCONNECTED("client-left"),
    /** What the client sent is not a valid HTTP request. */
    MALFORMED_REQUEST("malformed"),
    /** A request body is longer than {@link InboundHttpServer#MAX_BODY_BYTES}. */
    BODY_TOO_LARGE("oversized"),
    /** The memory for request bodies is exhausted. */
    NO_BODY_MEMORY("no-memory"),
    /** Another transaction is open under the same trace id. */
    TRACE_ID_IN_USE("id-taken"),
    /** The request names no profile of the settings. */
    UNKNOWN_PROFILE("unknown-profile"),
    /** The client pipelined more than the limit of {@link PipeliningGate}. */
    PIPELINE_OVERFLOW("too-far-ahead"),
    /** It was accepted when too few descriptors were left to keep it. */
    NO_CAPACITY("too-many"),
    /** So many connections were open that none is kept alive behind its response. */
    ABOVE_KEEP_ALIVE_LIMIT("crowd"),
    /** It was idle, and closed for a connection that needs its descriptor. */
    EVICTED("room"),
    /** The client stopped sending in the midst of a request. */
    REQUEST_TIMEOUT("slow"),
    /** The client connected, and sent nothing within the idle limit. */
    NEVER_USED("silent"),
    /** It was idle for longer than the idle limit. */
    IDLE("unused"),
    /** The client did not read its response. */
    RESPONSE_NOT_READ("unread"),
    /** The program shuts down. */
    SHUTTING_DOWN("draining");

    private final String code;

    ConnectionEndReason(String code) {
        this.code = code;
    }

    /** The name in the log and in the counters. */
    String code() {
        return code;
    }
}
