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
 * Guards against a leak of completed transactions. Processes exited with status 3, 19 to 30 s after their start and a
 * few seconds after all endpoints had drained. A transaction that was rolled back while it waited for an endpoint got
 * its response, but stayed with its body in both tables of open transactions: these were cleared where an arrival or
 * the end of an attempt was handled, not where a transaction ends. The last line of the JVM (Java heap space) and the
 * classes on the heap confirmed it: 33,880 transactions were held after 33,880 rejections.
 */
class CompletedTransactionsIT extends SidecarFixture {
    /** With bodies of 64 KiB, more than the heap can hold. */
    private static final int TRANSACTIONS = 1_600;

    private final StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));

    @BeforeEach
    void useShortServiceGoals() {
        settings().getJsonArray("profiles").forEach(each -> ((JsonObject) each).put("service_goal", 40));
        initialEndpoints = new io.vertx.core.json.JsonArray().add(entry(0, "leaving"));
    }

    private static String postWithLargestBody(String trace) {
        String body = "x".repeat(InboundHttpServer.MAX_BODY_BYTES);
        return "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + trace
                + "\r\nX-Expires-In: 900m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void assertRejected(int from, int to) {
        try (TestClient client = new TestClient(port)) {
            for (int i = from; i < to; i++) {
                assertTrue(client.exchange(postWithLargestBody("t" + i)).startsWith("HTTP/1.1 503 "));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void assertNothingIsHeld() {
        eventually(() -> {
            JsonObject now = counters().getJsonObject("now", new JsonObject());
            return List.of("transactions", "held_transactions", "open_ids").stream()
                            .allMatch(each -> now.getInteger(each, -1) == 0)
                    && now.getInteger("policy_generations") == 1;
        });
    }

    @Test
    void transactionsRolledBackWithoutAnEndpointAreReleased() throws Exception {
        start();
        eventually(() -> counters().getJsonObject("now") != null);
        IntStream.range(0, 8).parallel().forEach(i -> assertRejected(i * TRANSACTIONS / 8, (i + 1) * TRANSACTIONS / 8));
        assertTrue(process.isAlive());
        assertEquals(
                TRANSACTIONS,
                counters()
                        .getJsonObject("rejections")
                        .getJsonObject("no_endpoint")
                        .getInteger("rolled_back"));
        assertNothingIsHeld();
        assertEquals(0, endpoint.requests.size());
    }

    /** The policy of earlier settings is released with the last transaction that was accepted under it. */
    @Test
    void policyOfEarlierSettingsIsReleasedWithItsLastTransaction() throws Exception {
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
        assertNothingIsHeld();
    }
}
