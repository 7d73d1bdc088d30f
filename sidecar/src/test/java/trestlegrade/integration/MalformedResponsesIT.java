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

/** Endpoints whose answers are cut, malformed, or followed by more. */
class MalformedResponsesIT extends SidecarFixture {
    /**
     * Half of the answers are no HTTP, are cut, or do not say where they end. Such an attempt may have run and costs
     * its connection, at once; the next transaction gets its own answer.
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
    void malformedResponseCountsAsAnAttemptThatMayHaveRun(String answer, String code) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        Function<String, String> oddOnesSpoilt = r -> asked.getAndIncrement() % 2 == 0
                ? answer.replace("\\r", "\r").replace("\\n", "\n")
                : response(200, "", header(r, "X-Trace-Id"));
        StubEndpoint first = endpoint(oddOnesSpoilt);
        StubEndpoint second = endpoint(oddOnesSpoilt);
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
        // A connection's end is counted a few turns of the loop behind the answer that it brought about.
        eventually(() -> ended("pooled:" + code) >= 6);
        assertEquals(6, ended("pooled:" + code));
        assertEquals(12, first.requests.size() + second.requests.size());
    }

    private long ended(String code) {
        return counters().getJsonObject("connections_ended").getLong(code, 0L);
    }

    /**
     * A good answer brings more than belongs to it. It counts, and what is beyond costs the connection: read as the
     * answer to the next transaction it would reach another client.
     */
    @ParameterizedTest
    @ValueSource(strings = {"twice", "noise behind", "later", "interim", "report", "ends"})
    void excessBytesReachNoOtherTransaction(String fault) throws Exception {
        String good = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n";
        StubEndpoint endpoint = endpoint(r -> {
            String mine = good + header(r, "X-Trace-Id");
            return switch (fault) {
                case "twice" -> mine + mine;
                case "noise behind" -> mine + "noise";
                case "interim" -> "HTTP/1.1 102 X\r\nA: b\r\n\r\nHTTP/1.1 103 X\r\n\r\n" + mine;
                case "report" -> mine.replace("Content", "Endpoint-Load-Metrics: \u0001\u007f\r\nContent");
                default -> mine;
            };
        });
        endpoint.trailingData = fault.equals("later") ? good + "xx" : fault.equals("ends") ? CLOSE : HANG;
        startAndAwaitHealthy();
        boolean kept = fault.equals("interim") || fault.equals("report");
        for (int round = 0; round < 20; round++) {
            List<TestClient> pair = List.of(client(), client());
            for (int i = 0; i < 10; i++) {
                for (TestClient each : pair) {
                    String trace = pair.indexOf(each) + "" + i;
                    String got = each.exchange(transaction(kept ? "quote" : "post-charge", trace, 900));
                    assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\n" + trace), got);
                }
            }
        }
        // How many rest at once goes by how fast the machine is; that none was ended for what it brought does not.
        JsonObject ended = counters().getJsonObject("connections_ended");
        boolean blamed = Stream.of("excess", "spoilt", "unfinished", "endpoint-closed", "broken")
                .anyMatch(code -> ended.containsKey("pooled:" + code));
        assertTrue(
                kept ? endpoint.connectionCount.get() < 200 && !blamed : endpoint.connectionCount.get() >= 200,
                () -> endpoint.connectionCount.get() + " connections, " + ended.encode());
    }
}
