package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients that stop in the middle of a request. */
class SlowClientsIT extends SidecarFixture {
    /**
     * Clients send a part of a request, or nothing, and keep their connection open. The connection is ended within 3 s.
     * A complete request gets its response, however late.
     */
    @ParameterizedTest
    @CsvSource(
            value = {
                "''|''",
                "GET /quote HTTP/1.1\\r\\nHost: h\\r\\nX-Trace-Id|''",
                "'\\r\\n\\r\\n\\r\\n'|''",
                "POST /post-charge HTTP/1.1\\r\\nHost: h\\r\\nX-Trace-Id: u\\r\\nContent-Length: 9\\r\\n\\r\\nhalf|408",
                "POST /post-charge HTTP/1.1\\r\\nHost: h\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nhalf|408",
                "POST /post-charge HTTP/1.1\\r\\nHost: h\\r\\nX-Trace-Id: u\\r\\nContent-Length: 60000000\\r\\n"
                        + "\\r\\nx|413",
                "AGAIN|''"
            },
            delimiter = '|')
    void connectionsWithUnfinishedRequestsAreEndedInTime(String sent, String status) throws Exception {
        StubEndpoint endpoint = endpoint(r -> {
            pause(r.contains("/post-charge") ? 2_100 : 0);
            return response(200, "", "good");
        });
        startAndAwaitHealthy();
        TestClient regularClient = client();
        regularClient.write(transaction("post-charge", "t", 3_000));
        TestClient slowClient = client();
        if (sent.equals("AGAIN")) {
            assertTrue(slowClient.exchange(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
        } else {
            slowClient.write(sent.replace("\\r", "\r").replace("\\n", "\n"));
        }
        long start = System.nanoTime();
        String got = slowClient.read();
        assertEquals(status, got.length() < 12 ? got : got.substring(9, 12));
        if (!got.isEmpty()) {
            assertEquals("", slowClient.read());
        }
        long took = (System.nanoTime() - start) / 1_000_000;
        assertTrue(took < 2_800, "after " + took + " ms");
        assertTrue(regularClient.read().startsWith("HTTP/1.1 200 "));
        assertEquals(sent.equals("AGAIN") ? 2 : 1, endpoint.requests.size());
    }
}
