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

/** Transactions on their way to an endpoint and back. */
class RequestForwardingIT extends SidecarFixture {
    /**
     * A proxy that decodes and encodes again changes what it forwards: escapes in the target, bytes above ASCII, a
     * body. All but the headers of the connection itself goes on as the bytes that came, and the deadline as what is
     * left of it.
     */
    @Test
    void forwardsTargetHeadersAndBodyUnchanged() throws Exception {
        StubEndpoint endpoint = endpoint(
                r -> response(200, "Content-Type: text/x-own\r\nKeep-Alive: timeout=5\r\n", "served \u00e9\n"));
        startAndAwaitHealthy();
        // The log is written on a thread of its own, behind the moment at which the sidecar calls itself healthy.
        eventually(() -> log().matches("(?s).*code=ready warm_up_requests=[1-9]\\d* .*"));
        assertEquals(List.of(), endpoint.requests);
        assertEquals(0, counters().getLong("accepted"));
        String body = "x".repeat(64 << 10);
        String target = "/post-charge/a%2Fb;v=1//c?k=7f&x=%zz&&y=\u00c3\u00a9";
        String got = client().exchange("POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a-\u00e9-1\r\n"
                + "X-Qos: post-charge\r\nX-Expires-In: 900m\r\nContent-Type: a/b\r\nX-Own: 1\r\n"
                + "Connection: keep-alive, X-Own\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\nserved \u00e9\n"), got);
        String seen = endpoint.requests.get(0);
        assertTrue(seen.startsWith("POST " + target + " HTTP/1.1\r\n"), seen.substring(0, 200));
        assertTrue(seen.endsWith("\r\n\r\n" + body));
        assertEquals("a-\u00e9-1", header(seen, "X-Trace-Id"));
        assertEquals("a/b", header(seen, "Content-Type"));
        assertNull(header(seen, "X-Own"));
        assertEquals("text/x-own", header(got, "Content-Type"));
        assertNull(header(got, "Keep-Alive"));
        long left = Long.parseLong(header(seen, "X-Expires-In").replace("u", ""));
        assertTrue(left > 100_000 && left <= 900_000, "left " + left);
        got = client().exchange("GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a2\r\n\r\n");
        assertTrue(got.startsWith("HTTP/1.1 200 "), got);
        assertNull(header(endpoint.requests.get(1), "Content-Length"));
    }

    /**
     * The only endpoint takes a request and never answers. The client is answered before its deadline, and what may not
     * be repeated is not sent again.
     */
    @ParameterizedTest
    @CsvSource({"quote, 503", "post-charge, 502"})
    void answersBeforeTheDeadlineWhenTheEndpointIsSilent(String profile, int status) throws Exception {
        StubEndpoint silent = endpoint(r -> HANG);
        startAndAwaitHealthy();
        long start = System.nanoTime();
        String got = client().exchange(transaction(profile, "t", 1_200));
        long took = (System.nanoTime() - start) / 1_000_000;
        assertEquals(status, Integer.parseInt(got.substring(9, 12)));
        // A quarter of the wait is kept for a loop that stands still when the answer is due.
        assertTrue(took >= 800 && took <= 1_150, "after " + took + " ms");
        eventually(() -> silent.closedConnections.size() == 1);
        assertEquals(1, silent.requests.size());
    }

    /**
     * A client closes while its attempt is under way. The attempt is cancelled, so that it holds no connection for
     * nobody.
     */
    @Test
    void cancelsTheAttemptOfAClientThatLeft() throws Exception {
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
     * A sidecar that starts with an empty list can serve nobody. It says so, and rejects what comes, until the list
     * brings an endpoint.
     */
    @Test
    void isHealthyOnlyOnceItKnowsAnEndpoint() throws Exception {
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
