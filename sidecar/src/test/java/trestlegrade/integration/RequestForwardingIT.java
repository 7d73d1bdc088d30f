package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Forwarding of requests to endpoints and of responses to clients. */
class RequestForwardingIT extends SidecarFixture {
    /**
     * A proxy that decodes and re-encodes messages changes escapes in the target, non-ASCII bytes and bodies. The
     * sidecar must forward the received bytes, except for the headers of the connection itself and the timeout, which
     * it replaces by the remaining time.
     */
    @Test
    void forwardsTargetHeadersAndBodyUnchanged() throws Exception {
        StubEndpoint endpoint = endpoint(
                r -> response(200, "Content-Type: text/x-own\r\nKeep-Alive: timeout=5\r\n", "served \u00e9\n"));
        startAndAwaitHealthy();
        // The log is written by another thread, so this line may appear after the health check succeeds.
        eventually(() -> log().matches("(?s).*code=ready warm_up_requests=[1-9]\\d* .*"));
        assertEquals(List.of(), endpoint.requests);
        assertEquals(0, counters().getLong("accepted"));
        String body = "x".repeat(64 << 10);
        String target = "/post-charge/a%2Fb;v=1//c?k=7f&x=%zz&&y=\u00c3\u00a9";
        String got = client().exchange("POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a-\u00e9-1\r\n"
                + "X-Qos: post-charge\r\nX-Expires-In: 900m\r\nContent-Type: a/b\r\nX-Own: 1\r\n"
                + "Connection: keep-alive, X-Own\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\nserved \u00e9\n"), got);
        String forwarded = endpoint.requests.get(0);
        assertTrue(forwarded.startsWith("POST " + target + " HTTP/1.1\r\n"), forwarded.substring(0, 200));
        assertTrue(forwarded.endsWith("\r\n\r\n" + body));
        assertEquals("a-\u00e9-1", header(forwarded, "X-Trace-Id"));
        assertEquals("a/b", header(forwarded, "Content-Type"));
        assertNull(header(forwarded, "X-Own"));
        assertEquals("text/x-own", header(got, "Content-Type"));
        assertNull(header(got, "Keep-Alive"));
        long remainingMicros = Long.parseLong(header(forwarded, "X-Expires-In").replace("u", ""));
        assertTrue(remainingMicros > 100_000 && remainingMicros <= 900_000, "remaining: " + remainingMicros);
        got = client().exchange("GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a2\r\n\r\n");
        assertTrue(got.startsWith("HTTP/1.1 200 "), got);
        assertNull(header(endpoint.requests.get(1), "Content-Length"));
    }

    /**
     * The only endpoint accepts a request and never responds. The client gets a response before its deadline, and a
     * request that must not be repeated is not sent again.
     */
    @ParameterizedTest
    @CsvSource({"quote, 503", "post-charge, 502"})
    void respondsBeforeTheDeadlineWhenTheEndpointIsSilent(String profile, int status) throws Exception {
        StubEndpoint silent = endpoint(r -> HANG);
        startAndAwaitHealthy();
        long start = System.nanoTime();
        String got = client().exchange(transaction(profile, "t", 1_200));
        long took = (System.nanoTime() - start) / 1_000_000;
        assertEquals(status, Integer.parseInt(got.substring(9, 12)));
        // A quarter of the timeout is reserved for an event loop stall at the time when the response is due.
        assertTrue(took >= 800 && took <= 1_150, "after " + took + " ms");
        eventually(() -> silent.closedConnections.size() == 1);
        assertEquals(1, silent.requests.size());
    }

    /**
     * A client disconnects while its attempt is in flight. The attempt is cancelled, so that it does not hold a
     * connection whose response nobody needs.
     */
    @Test
    void cancelsTheAttemptOfADisconnectedClient() throws Exception {
        StubEndpoint silent = endpoint(r -> HANG);
        startAndAwaitHealthy();
        TestClient client = client();
        client.write(transaction("post-charge", "t", 2_900));
        eventually(() -> silent.received("t"));
        client.close();
        eventually(() -> silent.closedConnections.size() == 1);
        eventually(() -> counters().getLong("clients_left") == 1);
    }

    /**
     * A sidecar that starts with an empty endpoint list cannot serve requests. Its health check fails and it rejects
     * requests until the list has an endpoint.
     */
    @Test
    void isHealthyOnlyOnceAnEndpointIsListed() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        initialEndpoints = new JsonArray();
        start();
        within(5_000, () -> health() == 503);
        assertTrue(client().exchange(transaction("quote", "t", 500)).startsWith("HTTP/1.1 503 "));
        eventually(() -> !discovery.requests.isEmpty());
        discovery.writeLine(listLine(8, true, entry(0, "active")));
        eventually(() -> health() == 200);
        assertTrue(client().exchange(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
        assertTrue(endpoint.received("u"));
    }
}
