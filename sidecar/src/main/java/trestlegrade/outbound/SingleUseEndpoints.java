package trestlegrade.outbound;

import com.carrotsearch.hppc.LongLongHashMap;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Endpoints that have lately sent bytes which belong to no attempt, some time behind a response. Such bytes may be a
 * second response, and one that comes later than the quarantine of its connection would be taken for the response to
 * the next attempt on it. So each connection to them carries one attempt.
 */
final class SingleUseEndpoints {
    private static final long MILLIS = 60_000;

    /** By the endpoint's id: until when, in ticks. */
    private final LongLongHashMap until = new LongLongHashMap();

    /** The endpoint has sent late excess bytes. */
    void begin(Endpoint endpoint, long now) {
        until.put(endpoint.id, now + MILLIS * MonotonicClock.TICKS_PER_MILLI);
    }

    /** Whether connections to the endpoint carry one attempt. */
    boolean contains(Endpoint endpoint, long now) {
        return until.containsKey(endpoint.id) && now < until.get(endpoint.id);
    }

    /** The endpoint is not used any more. */
    void remove(Endpoint endpoint) {
        until.remove(endpoint.id);
    }
}
