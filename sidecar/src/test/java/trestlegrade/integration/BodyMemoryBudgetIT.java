package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.HttpText.response;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import trestlegrade.inbound.InboundHttpServer;

/** More bodies at once than the heap can hold: each request has its answer, and what is refused was not forwarded. */
@Isolated("holds some hundred threads and connections")
class BodyMemoryBudgetIT extends SidecarFixture {
    private static final int CLIENTS = 480;

    private static String posted(int id) {
        String body = "x".repeat(InboundHttpServer.MAX_BODY_BYTES);
        return "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t" + id
                + "\r\nX-Expires-In: 39000m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Test
    void theLargestBodiesAtOnce() throws Exception {
        Gate gate = new Gate();
        StubEndpoint endpoint = endpoint(r -> {
            gate.awaitOpen();
            return response(200, "", "y".repeat(InboundHttpServer.MAX_BODY_BYTES));
        });
        useLongTimeouts();
        // Neither long waits, slow connects nor a lack of descriptors refuse any: the memory alone is asked for here.
        settings().getJsonArray("profiles").forEach(each -> ((JsonObject) each).put("service_goal", 100_000_000));
        settings().getJsonObject("ceilings").put("dial_timeout", 30_000);
        sockets = 4 * CLIENTS;
        startAndAwaitHealthy();
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        closeables.add(clients::shutdownNow);
        List<Future<String>> answers = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int id = i;
            answers.add(clients.submit(() -> client().exchange(posted(id))));
        }
        eventually(() -> counters().getLong("accepted", 0L)
                        + answers.stream().filter(Future::isDone).count()
                >= CLIENTS);
        gate.open();
        int committed = 0;
        for (int i = 0; i < CLIENTS; i++) {
            String got = answers.get(i).get();
            boolean served = got.startsWith("HTTP/1.1 200 ");
            committed += served ? 1 : 0;
            assertTrue(served || got.startsWith("HTTP/1.1 503 "), got.substring(0, Math.min(60, got.length())));
            assertEquals(served, endpoint.received("t" + i), "t" + i);
        }
        assertTrue(
                committed > CLIENTS / 2 && committed < CLIENTS,
                committed + " committed, " + counters().encode());
        long refused = (long) CLIENTS - committed;
        // Counted when such a connection ends, a second behind its answer or later.
        eventually(() -> counters().getJsonObject("connections_ended").getLong("client:no-memory", 0L) == refused);
        eventually(() -> counters().getJsonObject("now").getLong("request_body_kb") == 0
                && counters().getJsonObject("now").getLong("answer_body_kb") == 0);
    }
}
