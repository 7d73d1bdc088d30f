package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** SIGHUP loads new settings while the sidecar serves requests. */
class SettingsReloadIT extends SidecarFixture {
    private static final int ROUNDS = 4;
    private static final int CLIENTS = 4;
    private static final int TRANSACTIONS_PER_CLIENT = 60;

    /** Each delays the slow transaction of a round until the settings of that round are in use. */
    private final List<Gate> gates = Stream.generate(Gate::new).limit(ROUNDS).toList();

    /** Responses that a reload must not cause. */
    private final List<String> unexpectedResponses = new CopyOnWriteArrayList<>();

    /**
     * Settings change under load, in both directions. A transaction that is lost, gets two responses or is handled
     * under the wrong settings shows as a client without its own response or as a trace id that reached the endpoints
     * twice. Each accepted transaction must get one response and be sent once. An open transaction ends under the
     * settings under which it was accepted, and draining applies to it too.
     */
    @Test
    void reloadsUnderLoadLoseNoTransaction() throws Exception {
        startTwoZones();
        Path file = dir.resolve("config.json");
        String originalConfig = Files.readString(file);
        JsonObject changedConfig = withOtherSettings(originalConfig);
        TestClient slow = client();
        for (int round = 0; round < ROUNDS; round++) {
            boolean changed = round % 2 == 0;
            // Discovery sends an empty line while nothing changes: a watch that is silent for 4.5 s is reopened.
            discovery.writeLine("");
            String slowTrace = "slow" + round;
            slow.write(transaction("post-charge", slowTrace, 30_000));
            eventually(() -> endpoints.stream().anyMatch(e -> e.received(slowTrace)));
            List<Thread> loadThreads = startLoad(round);
            pause(30);
            Files.writeString(file, changed ? changedConfig.encode() : originalConfig);
            signal("HUP");
            int reloads = round + 1;
            eventually(() -> log().split("code=adopted open=[1-9]", -1).length == reloads + 1);
            gates.get(round).open();
            assertProfileExistsOnlyInTheChangedSettings(round, changed);
            for (Thread thread : loadThreads) {
                thread.join();
            }
            assertEquals(List.of(), unexpectedResponses);
            assertTrue(slow.read().endsWith("slow" + round));
            assertTrafficFollowsTheHomeZone(round, changed);
        }
        reloadWithoutChanges();
        assertEachTransactionWasSentOnce();
        assertDrainAppliesToOpenTransactions(slow, file, changedConfig);
    }

    private void startTwoZones() throws Exception {
        for (int i = 0; i < 2; i++) {
            endpoint(r -> {
                String trace = header(r, "X-Trace-Id");
                if (trace.matches("slow\\d")) {
                    gates.get(trace.charAt(4) - '0').awaitOpen();
                }
                pause(trace.equals("slow-last") ? 1_200 : 2);
                return response(200, "", trace);
            });
        }
        // Keeps transactions open until the settings have changed, even on a slow machine.
        settings().getJsonArray("profiles").getJsonObject(1).put("hard_limit", 40_000);
        initialEndpoints =
                new JsonArray().add(entry(0, "active")).add(entry(1, "active").put("zone", "b"));
        startAndAwaitHealthy();
        eventually(() -> discovery.requests.size() == 1);
    }

    /** The configuration with another home zone, another profile and other values of the reloadable settings. */
    private static JsonObject withOtherSettings(String configuration) {
        JsonObject changed = new JsonObject(configuration);
        JsonObject settings = changed.getJsonObject("settings")
                .put("azs", new JsonArray().add("c").add("b").add("a"))
                .put("zone", 1)
                .put("n_instances", 300)
                .put("my_number", 299)
                .put("weights", "live")
                .put("fees", new JsonObject().put("cross_zone", 0.12).put("connection", 0.03))
                .put("goal", new JsonObject().put("whole", 0.4).put("worst_class", 0.4))
                .put("family_info", new JsonObject().put("warm_keys", true));
        settings.getJsonObject("ceilings").put("retry_after", false);
        settings.getJsonArray("profiles")
                .add(settings.getJsonArray("profiles").getJsonObject(0).copy().put("name", "cert"));
        return changed;
    }

    private List<Thread> startLoad(int round) throws Exception {
        AtomicInteger nextTrace = new AtomicInteger(round * 1_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            TestClient client = client();
            Thread thread = new Thread(() -> {
                for (int n = 0; n < TRANSACTIONS_PER_CLIENT; n++) {
                    String trace = "t" + nextTrace.getAndIncrement();
                    String got =
                            client.exchangeUnchecked(transaction(n % 2 == 0 ? "quote" : "post-charge", trace, 900));
                    // If the machine stalls, transactions may be rolled back, but none may be lost, get the response
                    // of another transaction or have an unknown outcome.
                    if (!got.endsWith(trace) && !got.startsWith("HTTP/1.1 503 ")) {
                        unexpectedResponses.add(round + " " + got);
                    }
                }
            });
            threads.add(thread);
            thread.start();
        }
        return threads;
    }

    private void assertProfileExistsOnlyInTheChangedSettings(int round, boolean changed) throws Exception {
        String got = client().exchange(transaction("cert", "c" + round, 900));
        assertTrue(got.startsWith(changed ? "HTTP/1.1 200 " : "HTTP/1.1 404 "), got);
    }

    /** Zones are identified by their names, although the changed settings list them in another order. */
    private void assertTrafficFollowsTheHomeZone(int round, boolean changed) throws Exception {
        int before = endpoints.get(0).requests.size();
        TestClient client = client();
        for (int n = 0; n < 20; n++) {
            assertTrue(client.exchange(transaction("quote", "z" + round + "-" + n, 900))
                    .startsWith("HTTP/1.1 200 "));
        }
        int zoneACount = endpoints.get(0).requests.size() - before;
        assertTrue(
                changed ? zoneACount == 0 : zoneACount > 0,
                "round " + round + ": " + zoneACount + " requests went to zone a");
    }

    /** Reloading unchanged settings must not adopt settings or open a watch, which the next assertions count. */
    private void reloadWithoutChanges() throws Exception {
        signal("HUP");
        eventually(() -> log().split("reload code=read ", -1).length == 6);
    }

    private void assertEachTransactionWasSentOnce() {
        List<String> traces = endpoints.stream()
                .flatMap(e -> e.requests.stream())
                .filter(r -> r.startsWith("POST"))
                .map(r -> header(r, "X-Trace-Id"))
                .toList();
        assertEquals(traces.size(), traces.stream().distinct().count(), "a transaction was sent twice");
        assertTrue(traces.size() > 400, "only " + traces.size() + " transactions");
        assertEquals(5, log().split("code=adopted", -1).length);
        assertEquals(1, discovery.requests.size());
        JsonObject counts = counters();
        assertEquals(counts.getLong("accepted"), counts.getLong("committed") + counts.getLong("rolled_back"));
    }

    /** A transaction that was accepted under the previous settings is not sent to a draining endpoint either. */
    private void assertDrainAppliesToOpenTransactions(TestClient slow, Path file, JsonObject config) throws Exception {
        slow.write(transaction("quote", "slow-last", 2_000));
        eventually(() -> endpoints.stream().anyMatch(e -> e.received("slow-last")));
        int current = endpoints.get(0).received("slow-last") ? 0 : 1;
        Files.writeString(file, config.encode());
        signal("HUP");
        eventually(() -> log().split("code=adopted", -1).length == 6);
        discovery.writeLine(listLine(8, false, entry(1 - current, "leaving")));
        eventually(() -> counters().getLong("list_lines") == 1);
        int seenBefore = endpoints.get(1 - current).requests.size();
        endpoints.get(current).closeAllConnections();
        assertTrue(slow.read().startsWith("HTTP/1.1 "));
        assertEquals(seenBefore, endpoints.get(1 - current).requests.size());
    }
}
