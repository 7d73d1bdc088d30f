package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Messages hold more memory than their text. What clients and endpoints send is bounded by what it really holds. */
@Isolated("holds several hundred connections")
class MessageMemoryIT extends SidecarFixture {
    private static final int CLIENTS = 500;
    private static final String SHORT_FIELDS = "a:1\r\n".repeat(1_500);
    /** Half of what the process may use. */
    private static final long MAX_DIRECT_KILOBYTES = 8 << 10;

    private static final String POST =
            "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: ID\r\nX-Expires-In: 9000m\r\n";

    private static final String SHORT_POST = POST + "Content-Length: 2\r\n\r\nok";
    private static final String LONG_POST = POST + "Content-Length: 40000\r\n\r\n" + "y".repeat(40_000);

    /** What each of many clients sends before it stops. Fields are short, so that they hold many times their text. */
    private enum Unfinished {
        HEAD("GET /quote HTTP/1.1\r\nHost: h\r\n" + SHORT_FIELDS),
        BODY(POST + "Content-Length: 10\r\n" + SHORT_FIELDS + "\r\n12"),
        REJECTED_BODY(POST + "Content-Length: 70000\r\n" + SHORT_FIELDS + "\r\n12"),
        TRAILER(POST + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + SHORT_FIELDS),
        HEAD_BEHIND_AN_OPEN_REQUEST(SHORT_POST + POST + SHORT_FIELDS),
        REQUESTS_BEHIND_AN_OPEN_REQUEST(
                SHORT_POST + ("GET /quote HTTP/1.1\r\nHost: h\r\n" + SHORT_FIELDS + "\r\n").repeat(4));

        private final String text;

        Unfinished(String text) {
            this.text = text;
        }
    }

    private void startWithLongTimeouts() throws Exception {
        useLongTimeouts();
        // Only a lack of memory may reject a request here: not long waits, slow connects or a lack of descriptors.
        settings().getJsonArray("profiles").forEach(each -> ((JsonObject) each).put("service_goal", 100_000_000));
        settings().getJsonObject("ceilings").put("dial_timeout", 30_000);
        sockets = 4 * CLIENTS;
        startAndAwaitHealthy();
    }

    /** Failure: the heap was exhausted and the process ended, or requests of other clients were refused. */
    @ParameterizedTest
    @EnumSource
    void shortFieldsOfUnfinishedRequestsDoNotExhaustTheHeap(Unfinished unfinished) throws Exception {
        endpoint(r -> {
            pause(header(r, "X-Trace-Id").startsWith("slow") ? 1_500 : 0);
            return response(200, "", header(r, "X-Trace-Id"));
        });
        startWithLongTimeouts();
        List<TestClient> unfinishedClients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            TestClient client = client();
            unfinishedClients.add(client);
            writeUnlessClosed(client, unfinished.text.replace("ID", "slow" + i));
        }
        assertRegularClientIsServed("r");
        eventually(() -> counters().getJsonObject("now").getLong("clients") <= 2);
        assertAllMemoryIsReleased();
        for (TestClient client : unfinishedClients) {
            client.close();
        }
    }

    /** Failure: endpoints that stop in the head of a response exhausted the heap, and the process ended. */
    @Test
    void shortFieldsOfUnfinishedResponsesDoNotExhaustTheHeap() throws Exception {
        endpoint(r -> header(r, "X-Trace-Id").startsWith("r")
                ? response(200, "", header(r, "X-Trace-Id"))
                : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + SHORT_FIELDS + "\r\nhalf".substring(0, 3));
        startWithLongTimeouts();
        for (int i = 0; i < CLIENTS; i++) {
            client().write(transaction("post-charge", "slow" + i, 9_000));
        }
        assertRegularClientIsServed("r");
        assertTrue(process.isAlive());
    }

    /** Input in several writes, so that it is read in several pieces. */
    private enum Pieces {
        SHORT_REQUESTS_BEHIND_A_LONG_ONE(32, LONG_POST, SHORT_POST.repeat(8), 3),
        INCOMPLETE_LINE_BEHIND_LONG_REQUESTS(400, LONG_POST + LONG_POST, "GET /qu", 1);

        private final int clients;
        private final String first;
        private final String then;
        private final int rounds;

        Pieces(int clients, String first, String then, int rounds) {
            this.clients = clients;
            this.first = first;
            this.then = then;
            this.rounds = rounds;
        }

        /** Writes the pieces, with another trace id for each request. */
        void writeTo(TestClient client, int number) throws IOException {
            for (int round = 0; round < rounds; round++) {
                int trace = 0;
                for (String piece : (first + "\0" + then).split("(?=POST)|\0")) {
                    client.write(piece.replace("ID", "slow" + number + "-" + round + "-" + trace++));
                    pause(2);
                }
            }
        }
    }

    /**
     * Failure: short pieces kept the direct buffers of their reads, and the event loop stood still for want of them.
     */
    @ParameterizedTest
    @EnumSource
    void piecesDoNotExhaustTheDirectMemory(Pieces pieces) throws Exception {
        endpoint(r -> {
            pause(header(r, "X-Trace-Id").startsWith("slow") ? 500 : 0);
            return response(200, "", header(r, "X-Trace-Id"));
        });
        startWithLongTimeouts();
        ExecutorService threads = Executors.newFixedThreadPool(pieces.clients);
        closeables.add(threads::shutdownNow);
        for (int i = 0; i < pieces.clients; i++) {
            int number = i;
            TestClient client = client();
            threads.submit(() -> {
                pieces.writeTo(client, number);
                return null;
            });
        }
        for (int i = 0; i < 4; i++) {
            assertRegularClientIsServed("r" + i + "-");
            assertDirectMemoryIsFree();
        }
    }

    /** Failure: a list of many small values stayed under the limit of its text, and its tree exhausted the heap. */
    @Test
    void smallValuesOfAListDoNotExhaustTheHeap() throws Exception {
        endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        startWithLongTimeouts();
        eventually(() -> !discovery.requests.isEmpty());
        discovery.writeLine("{\"index\":8,\"endpoints\":[" + "{},".repeat(1_300_000) + "{}]}");
        assertRegularClientIsServed("r");
        eventually(() -> counters().getLong("list_lines_bad") > 0);
        assertTrue(process.isAlive());
    }

    private void assertDirectMemoryIsFree() {
        long directKilobytes = counters().getJsonObject("now").getLong("direct_used_kb");
        assertTrue(directKilobytes < MAX_DIRECT_KILOBYTES, directKilobytes + " kB of direct memory");
    }

    private static void writeUnlessClosed(TestClient client, String text) {
        try {
            client.write(text);
        } catch (IOException e) {
            // The sidecar may end the connection before all of it is written.
        }
    }

    private void assertRegularClientIsServed(String tracePrefix) throws Exception {
        TestClient client = client();
        for (int i = 0; i < 50; i++) {
            String trace = tracePrefix + i;
            String got = "no response";
            try {
                got = client.exchange(transaction(i % 2 == 0 ? "quote" : "post-charge", trace, 9_000));
            } catch (IOException e) {
                got = e.toString();
            }
            assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith(trace), got + log());
            pause(20);
        }
        client.close();
    }

    private void assertAllMemoryIsReleased() {
        eventually(() -> {
            JsonObject now = counters().getJsonObject("now");
            return now.fieldNames().stream()
                            .filter(name -> name.matches("(request|answer)_.*_kb"))
                            .mapToLong(now::getLong)
                            .sum()
                    <= 2;
        });
        assertEquals(true, process.isAlive());
    }
}
