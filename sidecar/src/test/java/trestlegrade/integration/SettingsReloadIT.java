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

/** New settings are loaded by SIGHUP into a program that serves. */
class SettingsReloadIT extends SidecarFixture {
    private static final int ROUNDS = 4;
    private static final int CLIENTS = 4;
    private static final int TRANSACTIONS_OF_A_CLIENT = 60;

    /** Each holds back the slow transaction of a round until that round's settings are in use. */
    private final List<Gate> gates = Stream.generate(Gate::new).limit(ROUNDS).toList();

    /** Transactions that ended in a way that no reload excuses. */
    private final List<String> wrong = new CopyOnWriteArrayList<>();

    /**
     * Settings change under load, in both directions. A transaction that is lost, answered twice or judged by the wrong
     * settings then shows as a client without its own answer or as an id that reached the endpoints twice. All that is
     * taken gets one answer and goes out once, what is open ends under the terms it was taken under, and drains hold
     * for it too.
     */
    @Test
    void newSettingsLoadUnderLoadWithoutLosingATransaction() throws Exception {
        startTwoZones();
        Path file = dir.resolve("config.json");
        String before = Files.readString(file);
        JsonObject moved = otherSettings(before);
        TestClient slow = client();
        for (int round = 0; round < ROUNDS; round++) {
            boolean there = round % 2 == 0;
            // As discovery does while nothing changes: a watch that is silent for 4.5 s is begun anew.
            discovery.writeLine("");
            String held = "slow" + round;
            slow.write(transaction("post-charge", held, 30_000));
            eventually(() -> endpoints.stream().anyMatch(e -> e.received(held)));
            List<Thread> busy = startLoad(round);
            pause(30);
            Files.writeString(file, there ? moved.encode() : before);
            signal("HUP");
            int adopted = round + 1;
            eventually(() -> log().split("code=adopted open=[1-9]", -1).length == adopted + 1);
            gates.get(round).open();
            profileIsKnownOnlyWithTheNewSettings(round, there);
            for (Thread each : busy) {
                each.join();
            }
            assertEquals(List.of(), wrong);
            assertTrue(slow.read().endsWith("slow" + round));
            trafficFollowsTheZone(round, there);
        }
        reloadWithoutChangesStartsNothingAnew();
        everythingWentOutOnce();
        drainReachesWhatWasTakenBefore(slow, file, moved);
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
        // What is open while the settings change is open until they have, however slow the machine is.
        settings().getJsonArray("profiles").getJsonObject(1).put("hard_limit", 40_000);
        initialEndpoints = new JsonArray().add(entry(0, "active")).add(entry(1, "active").put("zone", "b"));
        startAndAwaitHealthy();
        eventually(() -> discovery.requests.size() == 1);
    }

    /** The configuration with a different home zone, a profile more, and other values of what may change. */
    private static JsonObject otherSettings(String configuration) {
        JsonObject moved = new JsonObject(configuration);
        JsonObject settings = moved.getJsonObject("settings")
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
        return moved;
    }

    private List<Thread> startLoad(int round) throws Exception {
        AtomicInteger at = new AtomicInteger(round * 1_000);
        List<Thread> busy = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            TestClient client = client();
            Thread thread = new Thread(() -> {
                for (int n = 0; n < TRANSACTIONS_OF_A_CLIENT; n++) {
                    String trace = "t" + at.getAndIncrement();
                    String got = client.exchangeUnchecked(
                            transaction(n % 2 == 0 ? "quote" : "post-charge", trace, 900));
                    // On a machine that stalls some may be rolled back; none is lost, mixed up or unsure.
                    if (!got.endsWith(trace) && !got.startsWith("HTTP/1.1 503 ")) {
                        wrong.add(round + " " + got);
                    }
                }
            });
            busy.add(thread);
            thread.start();
        }
        return busy;
    }

    private void profileIsKnownOnlyWithTheNewSettings(int round, boolean there) throws Exception {
        String got = client().exchange(transaction("cert", "c" + round, 900));
        assertTrue(got.startsWith(there ? "HTTP/1.1 200 " : "HTTP/1.1 404 "), got);
    }

    /** Zones keep their names, though the settings list them in another order. */
    private void trafficFollowsTheZone(int round, boolean there) throws Exception {
        int before = endpoints.get(0).requests.size();
        TestClient client = client();
        for (int n = 0; n < 20; n++) {
            assertTrue(
                    client.exchange(transaction("quote", "z" + round + "-" + n, 900)).startsWith("HTTP/1.1 200 "));
        }
        int away = endpoints.get(0).requests.size() - before;
        assertTrue(there ? away == 0 : away > 0, "in round " + round + " " + away + " went to the other zone");
    }

    private void reloadWithoutChangesStartsNothingAnew() throws Exception {
        signal("HUP");
        eventually(() -> log().split("reload code=read ", -1).length == 6);
    }

    private void everythingWentOutOnce() {
        List<String> once = endpoints.stream()
                .flatMap(e -> e.requests.stream())
                .filter(r -> r.startsWith("POST"))
                .map(r -> header(r, "X-Trace-Id"))
                .toList();
        assertEquals(once.size(), once.stream().distinct().count(), "sent twice");
        assertTrue(once.size() > 400, "only " + once.size());
        assertEquals(5, log().split("code=adopted", -1).length);
        assertEquals(1, discovery.requests.size());
        JsonObject counted = counters();
        assertEquals(counted.getLong("accepted"), counted.getLong("committed") + counted.getLong("rolled_back"));
    }

    /** What was taken under the settings before hears of a drain as well. */
    private void drainReachesWhatWasTakenBefore(TestClient slow, Path file, JsonObject moved) throws Exception {
        slow.write(transaction("quote", "slow-last", 2_000));
        eventually(() -> endpoints.stream().anyMatch(e -> e.received("slow-last")));
        int holder = endpoints.get(0).received("slow-last") ? 0 : 1;
        Files.writeString(file, moved.encode());
        signal("HUP");
        eventually(() -> log().split("code=adopted", -1).length == 6);
        discovery.writeLine(listLine(8, false, entry(1 - holder, "leaving")));
        eventually(() -> counters().getLong("list_lines") == 1);
        int seen = endpoints.get(1 - holder).requests.size();
        endpoints.get(holder).closeAllConnections();
        assertTrue(slow.read().startsWith("HTTP/1.1 "));
        assertEquals(seen, endpoints.get(1 - holder).requests.size());
    }
}
