package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Seen: in a fleet of a hundred, processes that had been restarted sent to servers 1.05 s and more after these counted
 * as told to drain. Discovery had too many callers: it took each call of theirs and refused it after 2 s, three times
 * in 8 s. Cause: nothing ended the right to send by a list that nobody had confirmed for a long time; a longer or
 * shorter back-off only moved the odds. Proved by the replay (the watch lines of the log have refusals alone, no line
 * of a list came) and by the discovery below, which refuses every call: the program went on for ever.
 */
class StaleEndpointListIT extends SidecarFixture {
    /** A change counts as told so long after discovery had it, whatever failed. */
    private static final long TOLD_MS = 6_000;

    private static final long GRACE_MS = 1_000;
    private static final long TURN_MS = 2_000;

    /** When the endpoints were reached, in milliseconds. */
    private final List<Long> reached = new CopyOnWriteArrayList<>();

    private final List<Long> refusedAfter = new CopyOnWriteArrayList<>();
    private volatile boolean sending = true;
    /** Whether an endpoint drains: it turns away whatever is new. */
    private volatile boolean firstDrains;

    private volatile boolean secondDrains;
    private final StubEndpoint first = endpoint(r -> reach(firstDrains));
    private final StubEndpoint second = endpoint(r -> reach(secondDrains));

    private String reach(boolean drains) {
        reached.add(millis());
        return drains ? response(503, "X-Never-Ran: 1\r\n", "") : response(200, "", "good");
    }

    private void drain() {
        firstDrains = true;
        secondDrains = true;
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private static String refuseInTurn(String request) {
        pause(TURN_MS);
        return response(503, "", "");
    }

    @BeforeEach
    void terms() {
        discovery.heartbeats = false;
        useLongTimeouts();
        settings().getJsonObject("safety").put("drain_grace", GRACE_MS);
    }

    /** One transaction after the other on one connection, until the test ends. */
    private void send() {
        Thread thread = new Thread(() -> {
            int id = 0;
            while (sending) {
                try (TestClient client = new TestClient(port)) {
                    for (boolean open = true; sending && open; pause(20)) {
                        long asked = millis();
                        String got = client.exchange(transaction("quote", "t" + ++id, 30_000));
                        open = !got.isEmpty();
                        if (got.startsWith("HTTP/1.1 503 ")) {
                            refusedAfter.add(millis() - asked);
                        }
                    }
                } catch (IOException | RuntimeException e) {
                    pause(20);
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        closeables.add(() -> sending = false);
    }

    /**
     * Both drain. The last attempt before a pause of two seconds was not begun past the grace, and refusals come at
     * once.
     */
    private void stopsBy(long latest) {
        pause(Math.max(0, latest + 300 - millis()));
        int until = reached.size();
        refusedAfter.clear();
        pause(2_000);
        assertEquals(until, reached.size(), "sent on past the grace");
        assertTrue(
                until > 0 && reached.get(until - 1) <= latest,
                "last sent " + (reached.get(until - 1) - latest) + " ms late");
        assertTrue(refusedAfter.size() > 10, refusedAfter.size() + " refused");
        assertTrue(
                refusedAfter.stream()
                                .mapToLong(each -> each)
                                .sorted()
                                .skip(refusedAfter.size() / 2)
                                .findFirst()
                                .orElseThrow()
                        < 200,
                "refused after " + refusedAfter);
    }

    /** It serves again once discovery does, and not by the server that drained meanwhile. */
    private void servesAgain(StubDiscovery list) throws Exception {
        list.responder = r -> HANG;
        int before = list.requests.size();
        eventually(() -> list.requests.size() > before);
        int drained = first.requests.size();
        secondDrains = false;
        list.write(list.connectionCount.get() - 1, listLine(20, false, entry(0, "leaving")) + "\n");
        int after = reached.size();
        eventually(() -> reached.size() > after);
        assertEquals(drained, first.requests.size());
    }

    /** A new process that never had a word, a watch that ended, and one that is open and silent. */
    @ParameterizedTest
    @ValueSource(strings = {"new", "ended", "silent"})
    void discoveryTurnsEveryCallAway(String watch) throws Exception {
        if (watch.equals("new")) {
            discovery.responder = StaleEndpointListIT::refuseInTurn;
        }
        long started = millis();
        startAndAwaitHealthy();
        long last = started;
        if (!watch.equals("new")) {
            discovery.writeLine(listLine(8, false));
            last = millis();
            discovery.responder = StaleEndpointListIT::refuseInTurn;
        }
        if (watch.equals("ended")) {
            discovery.closeConnection(0, false);
        }
        send();
        // Well before the list is too old to be relied on.
        within(3_000, () -> reached.size() > 10);
        drain();
        stopsBy(last + TOLD_MS + GRACE_MS);
        servesAgain(discovery);
    }

    /** One drains unheard of, and the other goes on being sent to for as long as it serves. */
    @Test
    void whatServesIsSentToWithoutDiscovery() throws Exception {
        discovery.responder = StaleEndpointListIT::refuseInTurn;
        long started = millis();
        startAndAwaitHealthy();
        send();
        pause(1_000);
        firstDrains = true;
        pause(started + TOLD_MS + GRACE_MS - millis());
        int drained = first.requests.size();
        int served = second.requests.size();
        pause(8_000);
        assertEquals(drained, first.requests.size());
        assertTrue(second.requests.size() > served + 100, second.requests.size() - served + " served");
    }

    /** Nothing can be told while discovery is down, so all go on; its return begins the count. */
    @Test
    void discoveryIsDownAndReturnsCrowded() throws Exception {
        startAndAwaitHealthy();
        discovery.writeLine(listLine(8, false));
        int place = discovery.port();
        discovery.close();
        send();
        pause(TOLD_MS + GRACE_MS + 2_000);
        int before = reached.size();
        pause(500);
        assertTrue(reached.size() > before, "served through the outage");
        drain();
        StubDiscovery back = new StubDiscovery(StaleEndpointListIT::refuseInTurn, place);
        back.heartbeats = false;
        closeables.add(back);
        stopsBy(millis() + TOLD_MS + GRACE_MS);
        servesAgain(back);
    }

    /** What discovery has at another place counts as told 4 s after the signal. */
    @Test
    void discoveryMovedToAPlaceThatTurnsEveryCallAway() throws Exception {
        startAndAwaitHealthy();
        discovery.writeLine(listLine(8, false));
        StubDiscovery elsewhere = new StubDiscovery(StaleEndpointListIT::refuseInTurn);
        elsewhere.heartbeats = false;
        closeables.add(elsewhere);
        send();
        pause(200);
        drain();
        Path file = dir.resolve("config.json");
        Files.writeString(
                file,
                new JsonObject(Files.readString(file))
                        .put("discovery", "127.0.0.1:" + elsewhere.port())
                        .encode());
        signal("HUP");
        stopsBy(millis() + 4_000 + GRACE_MS);
        servesAgain(elsewhere);
    }

    /** A watch that says that nothing changes keeps all going for good. */
    @Test
    void aWatchThatIsQuietButAlive() throws Exception {
        discovery.heartbeats = true;
        startAndAwaitHealthy();
        send();
        pause(TOLD_MS + GRACE_MS + 2_000);
        int before = reached.size();
        pause(500);
        assertTrue(reached.size() > before);
        assertEquals(0, refusedAfter.size());
    }
}
