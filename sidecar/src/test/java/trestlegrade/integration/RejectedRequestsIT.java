package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;

import io.vertx.core.json.JsonObject;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that are not valid transactions. */
class RejectedRequestsIT extends SidecarFixture {
    /** Pairs of the expected status and the request. */
    private static final String[][] MALFORMED_REQUESTS = {
        {"400", "GET /quote HTTP/1.1\r\nHost h\r\nX-Trace-Id t\r\n\r\n"},
        {"400", "nonsense\r\n\r\n"},
        {"414", "GET /quote?" + "a".repeat(100_000) + " HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"431", "GET /quote HTTP/1.1\r\nHost: h\r\nA: " + "a".repeat(100_000) + "\r\n\r\n"},
        {"400", "GET /quote HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"400", "GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Expires-In: soon\r\n\r\n"},
        {"400", "GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Expires-In: -5m\r\n\r\n"},
        {"400", "GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Expires-In: NaNm\r\n\r\n"},
        {"400", "GET /quote?\u00e9 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\n\r\n"},
        {"404", "GET /nothing HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\n\r\n"},
        {"404", "GET / HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\n\r\n"},
        {"404", "GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Qos: other\r\n\r\n"},
        {
            "413",
            "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nContent-Length: 65537\r\n\r\n"
                    + "x".repeat(65_537)
        },
        {
            "413",
            "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nContent-Length: 9000000\r\n\r\n"
                    + "x".repeat(9_000_000)
        },
        {"400", "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nContent-Length: -1\r\n\r\n"},
    };

    /**
     * Clients send requests that are not HTTP, are too long or are not transactions. Each is rejected with its status,
     * none reaches an endpoint, and valid requests are still served.
     */
    @Test
    void malformedRequestsGetA4xxAndLaterRequestsAreServed() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        for (String[] malformed : MALFORMED_REQUESTS) {
            String got = client().exchange(malformed[1]);
            assertEquals(
                    malformed[0],
                    got.length() < 12 ? got : got.substring(9, 12),
                    malformed[1].substring(0, Math.min(80, malformed[1].length())));
        }
        assertEquals(List.of(), endpoint.requests);
        assertTrue(client().exchange(transaction("quote", "t", 500)).startsWith("HTTP/1.1 200 "));
        JsonObject rejected = counters().getJsonObject("rejected");
        assertEquals(
                MALFORMED_REQUESTS.length,
                rejected.stream()
                        .mapToLong(e -> ((Number) e.getValue()).longValue())
                        .sum(),
                rejected::encode);
    }

    /**
     * Guards against request smuggling: a request has two conflicting lengths, and a server that uses the other length
     * finds a second transaction in the body. The request is rejected, and nothing after it is read.
     */
    @Test
    void conflictingLengthsAreRejectedAndEndTheConnection() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        String inner = transaction("post-charge", "inner", 500);
        for (String lengths : List.of(
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: " + (5 + inner.length()) + "\r\n",
                "Content-Length: 3\r\nTransfer-Encoding: xchunked\r\n")) {
            TestClient client = client();
            String got = client.exchange(
                    "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\n" + lengths + "\r\n0\r\n\r\n" + inner);
            assertTrue(got.startsWith("HTTP/1.1 400 "), got);
            assertEquals("", client.read());
        }
        assertEquals(List.of(), endpoint.requests);
    }

    /**
     * A client repeats a transaction while the first request is open on another connection, so it would run twice. The
     * second request is rejected until the first has its response or its client has disconnected.
     */
    @Test
    void duplicateTraceIdIsRejectedWhileTheFirstRequestIsOpen() throws Exception {
        StubEndpoint endpoint = endpoint(r -> {
            pause(500);
            return response(200, "", "good");
        });
        startAndAwaitHealthy();
        TestClient firstClient = client();
        firstClient.write(transaction("post-charge", "t", 2_000));
        eventually(() -> endpoint.received("t"));
        for (int i = 0; i < 2; i++) {
            assertTrue(client().exchange(transaction("post-charge", "t", 2_000)).startsWith("HTTP/1.1 409 "));
        }
        assertTrue(firstClient.read().startsWith("HTTP/1.1 200 "));
        assertEquals(1, endpoint.requests.size());
        assertTrue(firstClient.exchange(transaction("post-charge", "t", 2_000)).startsWith("HTTP/1.1 200 "));
        firstClient.write(transaction("post-charge", "t", 2_000));
        eventually(() -> endpoint.requests.size() == 3);
        firstClient.close();
        eventually(() -> counters().getLong("clients_left") == 1);
        assertTrue(client().exchange(transaction("post-charge", "t", 2_000)).startsWith("HTTP/1.1 200 "));
    }
}
