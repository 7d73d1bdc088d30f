package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages hold more memory than their text. What clients and endpoints send is bounded by what it really holds. */
@Isolated("holds several hundred connections")
class MessageMemoryIT extends SidecarFixture {
    private static final int CLIENTS = 500;
    /** Half of what the process may use. */
    private static final long MAX_DIRECT_KILOBYTES = 8 << 10;

    private static final String SHORT_FIELDS = "a:1\r\n".repeat(1_500);
    private static final String GET = "GET /quote HTTP/1.1\r\nHost: h\r\n";
    private static final String POST =
            "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: ID\r\nX-Expires-In: 9000m\r\n";
    private static final String SHORT_POST = POST + "Content-Length: 2\r\n\r\nok";
    private static final String LONG_POST = POST + "Content-Length: 40000\r\n\r\n" + "y".repeat(40_000);

    /** Starts the program so that only a lack of memory rejects a request; "slow" ones take the given time. */
    private void start(int slowMillis) throws Exception {
        endpoint(r -> {
            pause(header(r, "X-Trace-Id").startsWith("slow") ? slowMillis : 0);
            return response(200, "", header(r, "X-Trace-Id"));
        });
        useLongTimeouts();
        settings().getJsonArray("profiles").forEach(each -> ((JsonObject) each).put("service_goal", 100_000_000));
        settings().getJsonObject("ceilings").put("dial_timeout", 30_000);
        sockets = 4 * CLIENTS;
        startAndAwaitHealthy();
    }

    /** Failure: the heap was exhausted and the process ended, or requests of other clients were refused. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                GET + "FIELDS",
                POST + "Content-Length: 10\r\nFIELDS\r\n12",
                POST + "Content-Length: 70000\r\nFIELDS\r\n12",
                POST + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nFIELDS",
                SHORT_POST + POST + "FIELDS",
                SHORT_POST + GET + "FIELDS\r\n" + GET + "FIELDS\r\n" + GET + "FIELDS\r\n" + GET + "FIELDS\r\n"
            })
    void shortFieldsOfUnfinishedRequestsDoNotExhaustTheHeap(String text) throws Exception {
        start(1_500);
        for (int i = 0; i < CLIENTS; i++) {
            writeUnlessClosed(client(), text.replace("FIELDS", SHORT_FIELDS).replace("ID", "slow" + i));
        }
        assertRegularClientIsServed();
        eventually(() -> now("clients") <= 2);
        eventually(() -> now("request_head_kb") + now("request_body_kb") + now("request_pipelined_kb") <= 2);
        eventually(() -> now("request_incomplete_kb") + now("answer_head_kb") + now("answer_body_kb") <= 2);
    }

    /** Failure: endpoints that stop within a response exhausted the heap, and the process ended. */
    @ParameterizedTest
    @ValueSource(strings = {"", "\r\nhal"})
    void shortFieldsOfUnfinishedResponsesDoNotExhaustTheHeap(String end) throws Exception {
        start(0);
        endpoints.get(0).responder = r -> header(r, "X-Trace-Id").startsWith("slow")
                ? "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + SHORT_FIELDS + end
                : response(200, "", header(r, "X-Trace-Id"));
        for (int i = 0; i < CLIENTS; i++) {
            client().write(transaction("post-charge", "slow" + i, 9_000));
        }
        assertRegularClientIsServed();
    }

    /** Failure: short requests kept the direct buffers of their reads, and the event loop stood still without any. */
    @Test
    void shortRequestsBehindALongOneDoNotExhaustTheDirectMemory() throws Exception {
        String group = LONG_POST + ("|" + SHORT_POST).repeat(8);
        assertPiecesLeaveDirectMemory(96, group + "|" + group + "|" + group);
    }

    /** Failure: a line that stops kept the direct buffer of its read. */
    @Test
    void incompleteLinesBehindLongRequestsDoNotExhaustTheDirectMemory() throws Exception {
        assertPiecesLeaveDirectMemory(400, LONG_POST + "|" + LONG_POST + "|GET /qu");
    }

    private void assertPiecesLeaveDirectMemory(int clients, String pieces) throws Exception {
        start(500);
        ExecutorService threads = Executors.newFixedThreadPool(clients);
        closeables.add(threads::shutdownNow);
        for (int i = 0; i < clients; i++) {
            String trace = "slow" + i + "-";
            TestClient client = client();
            threads.submit(() -> {
                int number = 0;
                for (String piece : pieces.split("\\|")) {
                    client.write(piece.replace("ID", trace + number++));
                    pause(2);
                }
                return null;
            });
        }
        for (int i = 0; i < 4; i++) {
            assertRegularClientIsServed();
            assertTrue(now("direct_used_kb") < MAX_DIRECT_KILOBYTES, now("direct_used_kb") + " kB of direct memory");
        }
    }

    /** Failure: a list of many small values stayed under the limit of its text, and its tree exhausted the heap. */
    @Test
    void smallValuesOfAListDoNotExhaustTheHeap() throws Exception {
        start(0);
        eventually(() -> !discovery.requests.isEmpty());
        discovery.writeLine("{\"index\":8,\"endpoints\":[" + "{},".repeat(1_300_000) + "{}]}");
        assertRegularClientIsServed();
        eventually(() -> counters().getLong("list_lines_bad") > 0);
    }

    private long now(String gauge) {
        return counters().getJsonObject("now").getLong(gauge);
    }

    private static void writeUnlessClosed(TestClient client, String text) {
        try {
            client.write(text);
        } catch (IOException e) {
            // The sidecar may end the connection before all of it is written.
        }
    }

    private void assertRegularClientIsServed() throws Exception {
        TestClient client = client();
        for (int i = 0; i < 50; i++) {
            String trace = "r" + System.nanoTime();
            String got = client.exchange(transaction(i % 2 == 0 ? "quote" : "post-charge", trace, 9_000));
            assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith(trace), got);
            pause(20);
        }
        client.close();
        assertTrue(process.isAlive());
    }
}
