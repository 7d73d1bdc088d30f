package trestlegrade.inbound;

/** The HTTP fields of the protocol. The constants are named after the terms that the code uses for them. */
public final class ProtocolFields {
    /** Identifies a transaction. */
    public static final String TRACE_ID = "X-Trace-Id";
    /** The name of the transaction's profile. Without this field, the first path segment names the profile. */
    public static final String PROFILE = "X-Qos";
    /** How long the client (or, on an attempt, this sidecar) waits for the response: a number and m (ms) or u (µs). */
    public static final String TIMEOUT = "X-Expires-In";
    /** The name of the customer whose share the transaction uses. */
    public static final String CUSTOMER = "X-Customer";
    /** The estimated work of the transaction, in microseconds. */
    public static final String COST_HINT = "X-Size-Hint";
    /** The delay after which a rejected transaction may be retried, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";
    /** The query parameter whose value is the affinity key. */
    static final String AFFINITY_KEY_PARAMETER = "k";

    private ProtocolFields() {}
}
