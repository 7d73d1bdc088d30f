package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import trestlegrade.inbound.InboundHttpServer;

/**
 * Seen: processes ended by themselves with exit status 3, 19 to 30 s after their start and some seconds after all
 * servers had drained. Cause: a transaction that was given up while it waited for a server was answered, but stayed in
 * both tables of open transactions with its body; these were cleared where an arrival or an attempt's end was handled,
 * not where a transaction ends. Proved by the runtime's last line (Java heap space) and by the classes on the heap:
 * 33,880 transactions held after 33,880 refusals.
 */
class CompletedTransactionsIT extends SidecarFixture {
    // With bodies of 64 KiB more than the heap holds.
    private static final int MANY = 1_600;

    private final StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));

    @BeforeEach
    void shortGoals() {
        settings().getJsonArray("profiles").forEach(each -> ((JsonObject) each).put("service_goal", 40));
        initialEndpoints = new io.vertx.core.json.JsonArray().add(entry(0, "leaving"));
    }

    private static String posted(String trace) {
        String body = "x".repeat(InboundHttpServer.MAX_BODY_BYTES);
        return "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + trace
                + "\r\nX-Expires-In: 900m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void refused(int from, int to) {
        try (TestClient client = new TestClient(port)) {
            for (int i = from; i < to; i++) {
                assertTrue(client.exchange(posted("t" + i)).startsWith("HTTP/1.1 503 "));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void nothingIsHeld() {
        eventually(() -> {
            JsonObject now = counters().getJsonObject("now", new JsonObject());
            return List.of("transactions", "held_transactions", "open_ids").stream()
                            .allMatch(each -> now.getInteger(each, -1) == 0)
                    && now.getInteger("policy_generations") == 1;
        });
    }

    @Test
    void whatIsGivenUpWhileItWaitsForAServer() throws Exception {
        start();
        eventually(() -> counters().getJsonObject("now") != null);
        IntStream.range(0, 8).parallel().forEach(i -> refused(i * MANY / 8, (i + 1) * MANY / 8));
        assertTrue(process.isAlive());
        assertEquals(
                MANY,
                counters()
                        .getJsonObject("rejections")
                        .getJsonObject("no_endpoint")
                        .getInteger("rolled_back"));
        nothingIsHeld();
        assertEquals(0, endpoint.requests.size());
    }

    /** The decisions under earlier settings go with the last transaction that was taken under them. */
    @Test
    void whatIsGivenUpUnderEarlierSettings() throws Exception {
        settings()
                .getJsonArray("profiles")
                .forEach(each -> ((JsonObject) each).put("service_goal", 8_000).put("hard_limit", 9_000));
        start();
        eventually(() -> counters().getJsonObject("now") != null);
        TestClient client = client();
        client.write(transaction("quote", "t", 8_000));
        eventually(() -> counters().getJsonObject("now").getInteger("transactions") == 1);
        Path file = dir.resolve("config.json");
        JsonObject changed = new JsonObject(Files.readString(file));
        changed.getJsonObject("settings").put("n_instances", 4);
        Files.writeString(file, changed.encode());
        signal("HUP");
        eventually(() -> counters().getJsonObject("now").getInteger("policy_generations") == 2);
        assertTrue(client.read().startsWith("HTTP/1.1 503 "));
        nothingIsHeld();
    }
}
