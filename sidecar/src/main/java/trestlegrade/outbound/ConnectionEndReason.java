package trestlegrade.outbound;

/** Why a connection to an endpoint ended. Each reason has a code in the log and in the counters. */
enum ConnectionEndReason {
    /** The connection could not be opened. */
    CONNECT_FAILED("connect-failed"),
    /** The connection was idle for longer than the endpoint keeps it open. */
    IDLE("idle"),
    /** The endpoint was removed from the list, drains, moved or restarted. */
    ENDPOINT_OUTDATED("gone"),
    /** The connection's descriptor was needed for another connection. */
    DESCRIPTOR_NEEDED("room"),
    POOL_CLOSED("ended"),
    /** Another attempt at the same endpoint timed out or broke, so the machine may be dead. */
    SUSPECT("suspect"),
    TIMED_OUT("timed-out"),
    CANCELLED("cancelled"),
    /** The response arrived before the last byte of the request was written. */
    EARLY_RESPONSE("early-answer"),
    /** The endpoint or the network ended the connection during an attempt, or a write failed. */
    BROKEN("broken"),
    /** The endpoint closed the connection while it was idle. */
    ENDPOINT_CLOSED("endpoint-closed"),
    /** The response announced that the endpoint closes the connection. */
    CLOSE_ANNOUNCED("endpoint-closes"),
    /** The response body exceeds the limit of the protocol. */
    OVERSIZED("oversized"),
    /** Responses hold all the memory that they may use. */
    NO_MEMORY("no-memory"),
    /** Bytes arrived that belong to no attempt. */
    EXCESS_BYTES("excess"),
    /** The connection has served an attempt, and its endpoint sends excess bytes. */
    SINGLE_USE("single-use"),
    /** The response cannot be parsed. */
    MALFORMED("spoilt"),
    /** A part of the response arrived, and nothing followed for too long. */
    UNFINISHED("unfinished");

    private final String logCode;

    ConnectionEndReason(String logCode) {
        this.logCode = logCode;
    }

    /** Returns the code in the log and in the counters. */
    String logCode() {
        return logCode;
    }
}
