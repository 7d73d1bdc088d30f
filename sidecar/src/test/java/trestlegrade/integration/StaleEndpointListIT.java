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
 * In a fleet of 100, restarted processes sent requests to endpoints 1.05 s and more after the draining of these
 * endpoints counted as notified. Discovery was overloaded by callers: it accepted each call of these processes and
 * rejected it after 2 s, three times in 8 s. The cause was that nothing ended the right to send to the endpoints of a
 * list that had not been confirmed for a long time; a longer or shorter backoff only changed the odds. Proof: in the
 * replay the watch lines of the log contained rejections only and no line of a list arrived, and with a discovery that
 * rejects every call, like the stub below, the process kept sending forever.
 */
class StaleEndpointListIT extends SidecarFixture {
    /** A change counts as notified this long after discovery had it, regardless of failures. */
    private static final long NOTIFICATION_DELAY_MS = 6_000;

    private static final long DRAIN_GRACE_MS = 1_000;
    private static final long REJECTION_DELAY_MS = 2_000;

    /** When requests reached the endpoints, in milliseconds. */
    private final List<Long> reachedAt = new CopyOnWriteArrayList<>();

    /** How long rejected requests took, in milliseconds. */
    private final List<Long> rejectionMillis = new CopyOnWriteArrayList<>();

    private volatile boolean sending = true;
    /** Whether the first endpoint drains: it rejects new requests. */
    private volatile boolean firstDrains;

    private volatile boolean secondDrains;
    private final StubEndpoint first = endpoint(r -> respond(firstDrains));
    private final StubEndpoint second = endpoint(r -> respond(secondDrains));

    private String respond(boolean draining) {
        reachedAt.add(nowMillis());
        return draining ? response(503, "X-Never-Ran: 1\r\n", "") : response(200, "", "good");
    }

    private void drainBothEndpoints() {
        firstDrains = true;
        secondDrains = true;
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private static String rejectAfterDelay(String request) {
        pause(REJECTION_DELAY_MS);
        return response(503, "", "");
    }

    @BeforeEach
    void configure() {
        discovery.heartbeats = false;
        useLongTimeouts();
        settings().getJsonObject("safety").put("drain_grace", DRAIN_GRACE_MS);
    }

    /** Sends transactions one after another on one connection until the test ends. */
    private void startSending() {
        Thread thread = new Thread(() -> {
            int id = 0;
            while (sending) {
                try (TestClient client = new TestClient(port)) {
                    for (boolean open = true; sending && open; pause(20)) {
                        long asked = nowMillis();
                        String got = client.exchange(transaction("quote", "t" + ++id, 30_000));
                        open = !got.isEmpty();
                        if (got.startsWith("HTTP/1.1 503 ")) {
                            rejectionMillis.add(nowMillis() - asked);
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
     * Both endpoints drain. The last attempt before a pause of 2 s must not have started after the drain grace, and
     * requests must be rejected immediately.
     */
    private void assertSendingStopsBy(long latest) {
        pause(Math.max(0, latest + 300 - nowMillis()));
        int sentCount = reachedAt.size();
        rejectionMillis.clear();
        pause(2_000);
        assertEquals(sentCount, reachedAt.size(), "requests were sent after the drain grace");
        assertTrue(
                sentCount > 0 && reachedAt.get(sentCount - 1) <= latest,
                "last request sent " + (reachedAt.get(sentCount - 1) - latest) + " ms late");
        assertTrue(rejectionMillis.size() > 10, rejectionMillis.size() + " rejected");
        assertTrue(
                rejectionMillis.stream()
                                .mapToLong(each -> each)
                                .sorted()
                                .skip(rejectionMillis.size() / 2)
                                .findFirst()
                                .orElseThrow()
                        < 200,
                "milliseconds until the rejections: " + rejectionMillis);
    }

    /** Requests are served again once discovery responds, but not by the endpoint that drained in the meantime. */
    private void assertServesAgain(StubDiscovery current) throws Exception {
        current.responder = r -> HANG;
        int callsBefore = current.requests.size();
        eventually(() -> current.requests.size() > callsBefore);
        int sentToDrained = first.requests.size();
        secondDrains = false;
        current.write(current.connectionCount.get() - 1, listLine(20, false, entry(0, "leaving")) + "\n");
        int sentBefore = reachedAt.size();
        eventually(() -> reachedAt.size() > sentBefore);
        assertEquals(sentToDrained, first.requests.size());
    }

    /** The process is new and has received no data, or its watch has ended, or its watch is open but silent. */
    @ParameterizedTest
    @ValueSource(strings = {"new", "ended", "silent"})
    void sendingStopsWhileDiscoveryRejectsEveryCall(String watch) throws Exception {
        if (watch.equals("new")) {
            discovery.responder = StaleEndpointListIT::rejectAfterDelay;
        }
        long started = nowMillis();
        startAndAwaitHealthy();
        long lastConfirmed = started;
        if (!watch.equals("new")) {
            discovery.writeLine(listLine(8, false));
            lastConfirmed = nowMillis();
            discovery.responder = StaleEndpointListIT::rejectAfterDelay;
        }
        if (watch.equals("ended")) {
            discovery.closeConnection(0, false);
        }
        startSending();
        // Well before the lease of the list expires.
        within(3_000, () -> reachedAt.size() > 10);
        drainBothEndpoints();
        assertSendingStopsBy(lastConfirmed + NOTIFICATION_DELAY_MS + DRAIN_GRACE_MS);
        assertServesAgain(discovery);
    }

    /** One endpoint drains without a notification, and the other is used for as long as it serves requests. */
    @Test
    void servingEndpointIsUsedWithoutDiscovery() throws Exception {
        discovery.responder = StaleEndpointListIT::rejectAfterDelay;
        long started = nowMillis();
        startAndAwaitHealthy();
        startSending();
        pause(1_000);
        firstDrains = true;
        pause(started + NOTIFICATION_DELAY_MS + DRAIN_GRACE_MS - nowMillis());
        int sentToFirst = first.requests.size();
        int sentToSecond = second.requests.size();
        pause(8_000);
        assertEquals(sentToFirst, first.requests.size());
        assertTrue(second.requests.size() > sentToSecond + 100, second.requests.size() - sentToSecond + " served");
    }

    /**
     * No change can be notified while discovery is down, so all endpoints stay in use. The notification delay starts
     * when discovery returns.
     */
    @Test
    void sendingStopsOnlyAfterDiscoveryReturnsOverloaded() throws Exception {
        startAndAwaitHealthy();
        discovery.writeLine(listLine(8, false));
        int discoveryPort = discovery.port();
        discovery.close();
        startSending();
        pause(NOTIFICATION_DELAY_MS + DRAIN_GRACE_MS + 2_000);
        int before = reachedAt.size();
        pause(500);
        assertTrue(reachedAt.size() > before, "requests are served during the outage");
        drainBothEndpoints();
        StubDiscovery returned = new StubDiscovery(StaleEndpointListIT::rejectAfterDelay, discoveryPort);
        returned.heartbeats = false;
        closeables.add(returned);
        assertSendingStopsBy(nowMillis() + NOTIFICATION_DELAY_MS + DRAIN_GRACE_MS);
        assertServesAgain(returned);
    }

    /** Changes that discovery has at a new address count as notified 4 s after SIGHUP. */
    @Test
    void sendingStopsAfterMovingToADiscoveryThatRejectsEveryCall() throws Exception {
        startAndAwaitHealthy();
        discovery.writeLine(listLine(8, false));
        StubDiscovery newDiscovery = new StubDiscovery(StaleEndpointListIT::rejectAfterDelay);
        newDiscovery.heartbeats = false;
        closeables.add(newDiscovery);
        startSending();
        pause(200);
        drainBothEndpoints();
        Path file = dir.resolve("config.json");
        Files.writeString(
                file,
                new JsonObject(Files.readString(file))
                        .put("discovery", "127.0.0.1:" + newDiscovery.port())
                        .encode());
        signal("HUP");
        assertSendingStopsBy(nowMillis() + 4_000 + DRAIN_GRACE_MS);
        assertServesAgain(newDiscovery);
    }

    /** A watch that reports no changes keeps all endpoints in use indefinitely. */
    @Test
    void sendingContinuesWhileTheWatchReportsNoChanges() throws Exception {
        discovery.heartbeats = true;
        startAndAwaitHealthy();
        startSending();
        pause(NOTIFICATION_DELAY_MS + DRAIN_GRACE_MS + 2_000);
        int before = reachedAt.size();
        pause(500);
        assertTrue(reachedAt.size() > before);
        assertEquals(0, rejectionMillis.size());
    }
}
