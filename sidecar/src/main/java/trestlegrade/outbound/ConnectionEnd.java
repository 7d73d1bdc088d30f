package trestlegrade.outbound;

/** Why a connection to an endpoint ended; each has its code in the log and in the counters. */
enum ConnectionEnd {
    /** It could not be opened. */
    CONNECT_FAILED("connect-failed"),
    /** It was idle for longer than the endpoint keeps it open. */
    IDLE("idle"),
    /** The endpoint left, drains, moved or started anew. */
    ENDPOINT_OUTDATED("gone"),
    /** Its descriptor was needed for another endpoint. */
    DESCRIPTOR_NEEDED("room"),
    /** The pool was closed. */
    POOL_CLOSED("ended"),
    /** Another attempt at the same endpoint timed out or broke, so it may lead to a dead machine. */
    SUSPECT("suspect"),
    /** Its attempt timed out. */
    TIMED_OUT("timed-out"),
    /** Its attempt was cancelled. */
    CANCELLED("cancelled"),
    /** The response came before the request was written to its last byte. */
    EARLY_RESPONSE("early-answer"),
    /** The endpoint or the network ended it under an attempt, or a write failed. */
    BROKEN("broken"),
    /** The endpoint closed it while it was idle. */
    ENDPOINT_CLOSED("endpoint-closed"),
    /** The response said that the endpoint closes it. */
    CLOSE_ANNOUNCED("endpoint-closes"),
    /** The response's body is over the limit of the protocol. */
    OVERSIZED("oversized"),
    /** The bodies of responses hold all memory that they may. */
    NO_MEMORY("no-memory"),
    /** Bytes came that belong to no attempt. */
    EXCESS_BYTES("excess"),
    /** It has carried a response, and its endpoint is one that sends excess bytes. */
    SINGLE_USE("single-use"),
    /** The response cannot be parsed. */
    MALFORMED("spoilt"),
    /** A part of the response came, and nothing behind it for too long. */
    UNFINISHED("unfinished");

    private final String logCode;

    ConnectionEnd(String logCode) {
        this.logCode = logCode;
    }

    /** The code in the log and in the counters. */
    String logCode() {
        return logCode;
    }
}
