package trestlegrade.outbound;

import com.carrotsearch.hppc.LongLongHashMap;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Endpoints that have recently sent bytes that belong to no attempt, some time after a response. Such bytes may be a
 * second response. If a second response arrives after the quarantine of its connection, it is taken for the response to
 * the next attempt on the connection. Each connection to these endpoints therefore serves only one attempt.
 */
final class SingleUseEndpoints {
    private static final long DURATION_MILLIS = 60_000;

    /** The time until which an endpoint is single-use, in ticks, by the endpoint's id. */
    private final LongLongHashMap expiryById = new LongLongHashMap();

    /** Adds an endpoint that has sent excess bytes late. */
    void add(Endpoint endpoint, long now) {
        expiryById.put(endpoint.id, now + DURATION_MILLIS * MonotonicClock.TICKS_PER_MILLI);
    }

    /** Returns whether each connection to the endpoint serves only one attempt. */
    boolean contains(Endpoint endpoint, long now) {
        return expiryById.containsKey(endpoint.id) && now < expiryById.get(endpoint.id);
    }

    /** Removes an endpoint that is no longer used. */
    void remove(Endpoint endpoint) {
        expiryById.remove(endpoint.id);
    }
}
