package trestlegrade.inbound;

/** The HTTP fields of the protocol, under the names of the terms that this program uses for them. */
public final class ProtocolFields {
    /** Identifies a transaction. */
    public static final String TRACE_ID = "X-Trace-Id";
    /** The name of the transaction's profile; without it the first segment of the path names the profile. */
    public static final String PROFILE = "X-Qos";
    /** How long the client, or this sidecar on an attempt, waits for the response: a number and m (ms) or u (µs). */
    public static final String TIMEOUT = "X-Expires-In";
    /** The name of the customer whose share the transaction counts against. */
    public static final String CUSTOMER = "X-Customer";
    /** The work that the transaction is estimated to be, in microseconds. */
    public static final String COST_HINT = "X-Size-Hint";
    /** When a rejected transaction may be retried, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";
    /** The parameter of the query whose value is the affinity key. */
    static final String AFFINITY_KEY_PARAMETER = "k";

    private ProtocolFields() {}
}
