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

/** What happens to a transaction whose first attempt fails. */
class RetryIT extends SidecarFixture {
    /**
     * One bad endpoint stands beside a good one. What may have run at the bad one is sent to the good one only if it
     * may be repeated; else the client is told that nothing is known (502).
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
    void retriesOnlyWhatMayBeRepeated(String profile, String fault, int status) throws Exception {
        StubEndpoint good = endpoint(r -> response(200, "", "good"));
        StubEndpoint bad = endpoint(r -> switch (fault) {
            case "turned-away" -> response(503, "X-Never-Ran: 1\r\n", "");
            case "error" -> response(500, "X-Never-Ran: 1\r\n", "");
            case "unsure" -> response(503, "", "");
            case "closes-midway" -> "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
            default -> CLOSE;
        });
        if (fault.equals("not-listening")) {
            bad.close();
        }
        startAndAwaitHealthy();
        TestClient client = client();
        int statusAtBad = 0;
        for (int i = 0; i < 200 && statusAtBad == 0; i++) {
            String trace = "t" + i;
            String got = client.exchange(transaction(profile, trace, 900));
            int now = Integer.parseInt(got.substring(9, 12));
            boolean atGood = good.received(trace);
            if (bad.received(trace)) {
                statusAtBad = now;
                assertEquals(status == 200, atGood, "at the good one too");
            } else {
                assertEquals(200, now);
                statusAtBad = fault.equals("not-listening") && counters().getLong("connects") > i + 1 ? 200 : 0;
            }
        }
        assertEquals(status, statusAtBad);
        assertEquals(
                bad.requests.size(),
                bad.requests.stream().map(s -> header(s, "X-Trace-Id")).distinct().count());
    }

    /**
     * An endpoint whose machine says nothing takes no connection. Nothing has been sent then, so after the time limit
     * for connecting any transaction goes to another endpoint.
     */
    @Test
    void retriesElsewhereWhenAConnectionNeverComesUp() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 3; i++) {
                Socket filler = new Socket();
                closeables.add(filler);
                try {
                    filler.connect(silent.getLocalSocketAddress(), 100);
                } catch (IOException e) {
                    // The queue of the listener is full, as it shall be.
                }
            }
            StubEndpoint good = endpoint(r -> response(200, "", "good"));
            initialEndpoints = new JsonArray()
                    .add(entry(0, "active"))
                    .add(entry(0, "active")
                            .put("name", "s-silent")
                            .put("address", "127.0.0.1:" + silent.getLocalPort()));
            startAndAwaitHealthy();
            TestClient client = client();
            long slowest = 0;
            // After a quarter of a second without a commit the decisions may roll back early, too: never more.
            for (int i = 0; i < 40; i++) {
                long start = System.nanoTime();
                String got = client.exchange(transaction("post-charge", "t" + i, 2_000));
                assertTrue(got.startsWith("HTTP/1.1 200 ") || got.startsWith("HTTP/1.1 503 "), got);
                slowest = Math.max(slowest, (System.nanoTime() - start) / 1_000_000);
                assertEquals(got.startsWith("HTTP/1.1 200 "), good.received("t" + i));
            }
            assertTrue(good.requests.size() >= 10, good.requests.size() + " committed");
            assertTrue(slowest >= 240 && slowest < 600, "slowest after " + slowest + " ms");
        }
    }
}
