package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.CLOSE;

import io.vertx.core.json.JsonArray;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Transactions whose first attempt fails. */
class RetryIT extends SidecarFixture {
    /**
     * One endpoint is faulty, the other is healthy. A transaction that may have run at the faulty endpoint is sent to
     * the healthy one only if it may be repeated. Otherwise the client gets a 502, because the outcome is unknown.
     */
    @ParameterizedTest
    @CsvSource({
        "quote, turned-away, 200", "post-charge, turned-away, 200",
        "quote, not-listening, 200", "post-charge, not-listening, 200",
        "quote, closes, 200", "post-charge, closes, 502",
        "quote, closes-midway, 200", "post-charge, closes-midway, 502",
        "quote, error, 200", "post-charge, error, 502",
        "quote, unsure, 200", "post-charge, unsure, 502"
    })
    void retriesOnlyTransactionsThatMayBeRepeated(String profile, String fault, int status) throws Exception {
        StubEndpoint healthy = endpoint(r -> response(200, "", "good"));
        StubEndpoint faulty = endpoint(r -> switch (fault) {
            case "turned-away" -> response(503, "X-Never-Ran: 1\r\n", "");
            case "error" -> response(500, "X-Never-Ran: 1\r\n", "");
            case "unsure" -> response(503, "", "");
            case "closes-midway" -> "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
            default -> CLOSE;
        });
        if (fault.equals("not-listening")) {
            faulty.close();
        }
        startAndAwaitHealthy();
        TestClient client = client();
        int statusAfterFault = 0;
        for (int i = 0; i < 200 && statusAfterFault == 0; i++) {
            String trace = "t" + i;
            String got = client.exchange(transaction(profile, trace, 900));
            int clientStatus = Integer.parseInt(got.substring(9, 12));
            boolean reachedHealthy = healthy.received(trace);
            if (faulty.received(trace)) {
                statusAfterFault = clientStatus;
                assertEquals(status == 200, reachedHealthy, "forwarded to the healthy endpoint too");
            } else {
                assertEquals(200, clientStatus);
                statusAfterFault = fault.equals("not-listening") && counters().getLong("connects") > i + 1 ? 200 : 0;
            }
        }
        assertEquals(status, statusAfterFault);
        assertEquals(
                faulty.requests.size(),
                faulty.requests.stream()
                        .map(s -> header(s, "X-Trace-Id"))
                        .distinct()
                        .count());
    }

    /**
     * A connect to an endpoint whose machine does not respond times out. Nothing has been sent then, so after the
     * connect timeout any transaction is sent to another endpoint.
     */
    @Test
    void retriesAtAnotherEndpointWhenAConnectTimesOut() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 3; i++) {
                Socket filler = new Socket();
                closeables.add(filler);
                try {
                    filler.connect(silent.getLocalSocketAddress(), 100);
                } catch (IOException e) {
                    // Expected: the listener's backlog is full.
                }
            }
            StubEndpoint healthy = endpoint(r -> response(200, "", "good"));
            initialEndpoints = new JsonArray()
                    .add(entry(0, "active"))
                    .add(entry(0, "active")
                            .put("name", "s-silent")
                            .put("address", "127.0.0.1:" + silent.getLocalPort()));
            startAndAwaitHealthy();
            TestClient client = client();
            long maxMillis = 0;
            // After 0.25 s without a commit the policy may also roll back early (503), but nothing else is allowed.
            for (int i = 0; i < 40; i++) {
                long start = System.nanoTime();
                String got = client.exchange(transaction("post-charge", "t" + i, 2_000));
                assertTrue(got.startsWith("HTTP/1.1 200 ") || got.startsWith("HTTP/1.1 503 "), got);
                maxMillis = Math.max(maxMillis, (System.nanoTime() - start) / 1_000_000);
                assertEquals(got.startsWith("HTTP/1.1 200 "), healthy.received("t" + i));
            }
            assertTrue(healthy.requests.size() >= 10, healthy.requests.size() + " committed");
            assertTrue(maxMillis >= 240 && maxMillis < 600, "slowest response after " + maxMillis + " ms");
        }
    }
}
