package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.CLOSE;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints whose responses are truncated, malformed or followed by excess bytes. */
class MalformedResponsesIT extends SidecarFixture {
    /**
     * Every second response is not HTTP, is truncated or does not say where it ends. Such an attempt may have run, and
     * its connection is closed immediately. The next transaction gets its own response.
     */
    @ParameterizedTest
    @CsvSource(
            value = {
                "noise without an end|spoilt",
                "'\\r\\n'|spoilt",
                "HTTP/2.0 200 OK\\r\\n\\r\\n|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Le|unfinished",
                "'HTTP/1.1 2xx\\r\\n\\r\\n'|spoilt",
                "HTTP/1.1 200 OK\\r\\nno colon here\\r\\nContent-Length: 4\\r\\n\\r\\nbody|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\nmore|unfinished",
                "HTTP/1.1 200 OK\\r\\nContent-Length: -4\\r\\n\\r\\nless|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 4, 5\\r\\n\\r\\nboth|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
                        + "0\\r\\n\\r\\n|spoilt",
                "HTTP/1.1 200 OK\\r\\n\\r\\nwhere does it end|spoilt",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 3000000000\\r\\n\\r\\nmuch|oversized"
            },
            delimiter = '|')
    void malformedResponseCountsAsAnAttemptThatMayHaveRun(String response, String code) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Function<String, String> everySecondMalformed = r -> requests.getAndIncrement() % 2 == 0
                ? response.replace("\\r", "\r").replace("\\n", "\n")
                : response(200, "", header(r, "X-Trace-Id"));
        StubEndpoint first = endpoint(everySecondMalformed);
        StubEndpoint second = endpoint(everySecondMalformed);
        startAndAwaitHealthy();
        TestClient client = client();
        for (int i = 0; i < 3; i++) {
            long start = System.nanoTime();
            String got = client.exchange(transaction("quote", "t" + i, 1_400));
            assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("t" + i), got);
            got = client.exchange(transaction("post-charge", "u" + i, 2_000));
            assertTrue(got.startsWith("HTTP/1.1 502 "), got);
            long took = (System.nanoTime() - start) / 1_000_000;
            assertTrue(took < (code.equals("unfinished") ? 800 : 200), "after " + took + " ms");
            assertTrue(client.exchange(transaction("post-charge", "v" + i, 500)).endsWith("v" + i));
        }
        // The end of a connection is counted a few event loop turns after the response to the client that it causes.
        eventually(() -> connectionsEnded("pooled:" + code) >= 6);
        assertEquals(6, connectionsEnded("pooled:" + code));
        assertEquals(12, first.requests.size() + second.requests.size());
    }

    private long connectionsEnded(String code) {
        return counters().getJsonObject("connections_ended").getLong(code, 0L);
    }

    /**
     * A valid response comes with excess bytes. It is forwarded, and its connection is closed, because the excess bytes
     * would be read as the response to the next transaction and reach another client. Interim responses and load
     * reports are not excess bytes.
     */
    @ParameterizedTest
    @ValueSource(strings = {"twice", "noise behind", "later", "interim", "report", "ends"})
    void excessBytesReachNoOtherTransaction(String fault) throws Exception {
        String head = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n";
        StubEndpoint endpoint = endpoint(r -> {
            String response = head + header(r, "X-Trace-Id");
            return switch (fault) {
                case "twice" -> response + response;
                case "noise behind" -> response + "noise";
                case "interim" -> "HTTP/1.1 102 X\r\nA: b\r\n\r\nHTTP/1.1 103 X\r\n\r\n" + response;
                case "report" -> response.replace("Content", "Endpoint-Load-Metrics: \u0001\u007f\r\nContent");
                default -> response;
            };
        });
        endpoint.trailingData = fault.equals("later") ? head + "xx" : fault.equals("ends") ? CLOSE : HANG;
        startAndAwaitHealthy();
        boolean reusable = fault.equals("interim") || fault.equals("report");
        for (int round = 0; round < 20; round++) {
            List<TestClient> clients = List.of(client(), client());
            for (int i = 0; i < 10; i++) {
                for (TestClient client : clients) {
                    String trace = clients.indexOf(client) + "" + i;
                    String got = client.exchange(transaction(reusable ? "quote" : "post-charge", trace, 900));
                    assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\n" + trace), got);
                }
            }
        }
        // How many connections are pooled depends on the speed of the machine, but why they were ended does not.
        JsonObject ended = counters().getJsonObject("connections_ended");
        boolean endedByFault = Stream.of("excess", "spoilt", "unfinished", "endpoint-closed", "broken")
                .anyMatch(code -> ended.containsKey("pooled:" + code));
        assertTrue(
                reusable
                        ? endpoint.connectionCount.get() < 200 && !endedByFault
                        : endpoint.connectionCount.get() >= 200,
                () -> endpoint.connectionCount.get() + " connections, " + ended.encode());
    }
}
