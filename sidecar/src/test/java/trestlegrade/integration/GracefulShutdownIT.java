package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.inbound.DescriptorBudget;

/** SIGTERM and SIGHUP while connections are accepted, requests are read and responses are written. */
class GracefulShutdownIT extends SidecarFixture {
    private final StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));

    private static JsonObject setDeadlines(JsonObject settings, long deadlineMillis, long latencyObjectiveMillis) {
        return settings.put(
                "profiles",
                new JsonArray(settings.getJsonArray("profiles")
                        .encode()
                        .replaceAll("\"hard_limit\":\\d+", "\"hard_limit\":" + deadlineMillis)
                        .replaceAll("\"service_goal\":\\d+", "\"service_goal\":" + latencyObjectiveMillis)));
    }

    private void reload(JsonObject settings) throws Exception {
        Path file = dir.resolve("config.json");
        Files.writeString(
                file,
                new JsonObject(Files.readString(file)).put("settings", settings).encode());
        int adoptedBefore = log().split("code=adopted", -1).length;
        signal("HUP");
        eventually(() -> log().split("code=adopted", -1).length == adoptedBefore + 1);
    }

    /** A client's connection ends after a response or because it is idle, not because the process exits. */
    private static void assertResponse(TestClient client) throws Exception {
        String got = client.read();
        assertTrue(got.startsWith("HTTP/1.1 "), "expected a response but read '" + got + "'");
    }

    /**
     * Measures the time until the last connection is closed, because no data can be lost after that. The time until the
     * process has exited also depends on the machine.
     */
    private static void assertClosedWithin(long milliseconds, long start, TestClient... clients) throws Exception {
        for (TestClient each : clients) {
            assertEquals("", each.read());
        }
        long took = (System.nanoTime() - start) / 1_000_000;
        assertTrue(
                took < milliseconds,
                "connections closed after " + took + " ms, process killed after " + milliseconds + " ms");
    }

    /**
     * The process stalls during the shutdown until its time for the shutdown is over. Requests that arrived meanwhile,
     * on accepted connections and in the listener's backlog, are handled in the same event loop turn as the end of the
     * shutdown, and could be lost by it.
     */
    @Test
    void withShortDeadlinesRequestsReceivedDuringAStallGetAResponseBeforeTheExit() throws Exception {
        setDeadlines(settings(), 300, 150);
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            clients.add(client());
            assertResponse(sendRequest(clients.get(i), "t" + i));
        }
        process.destroy();
        eventually(() -> log().contains("code=draining"));
        signal("STOP");
        eventually(this::allThreadsStopped);
        for (int i = 10; i < 40; i++) {
            clients.add(client());
        }
        for (TestClient each : clients) {
            sendRequest(each, "u" + clients.indexOf(each));
        }
        // The time for the shutdown is over by then: it ends 0.5 s after SIGTERM, and clients connect for up to 0.4 s.
        pause(700);
        signal("CONT");
        for (TestClient each : clients) {
            assertResponse(each);
        }
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    private static TestClient sendRequest(TestClient client, String trace) throws Exception {
        return sendRequest(client, trace, 300);
    }

    private static TestClient sendRequest(TestClient client, String trace, int timeoutMillis) throws Exception {
        client.write(transaction("quote", trace, timeoutMillis));
        return client;
    }

    /**
     * With deadlines of 0.3 s, requests are served during the shutdown for as long as clients send them, and no
     * transaction is still open when the process exits.
     */
    @Test
    void withShortDeadlinesRequestsAreServedForAsLongAsClientsSendThem() throws Exception {
        setDeadlines(settings(), 300, 150);
        startAndAwaitHealthy();
        TestClient reusedClient = client();
        assertResponse(sendRequest(reusedClient, "t"));
        long start = System.nanoTime();
        process.destroy();
        while (System.nanoTime() - start < 400_000_000L) {
            assertResponse(sendRequest(client(), "u" + System.nanoTime()));
            assertResponse(sendRequest(reusedClient, "v" + System.nanoTime()));
        }
        endpoint.responder = r -> HANG;
        sendRequest(reusedClient, "w");
        if (System.nanoTime() - start < 700_000_000L) {
            assertResponse(reusedClient);
        } else {
            // The test's thread ran late, and idle connections are closed by now: the request may cross the close and
            // remain unread.
            assertTrue(
                    reusedClient.read().startsWith("HTTP/1.1 ") || !endpoint.received("w"),
                    "the request was forwarded but got no response");
        }
        assertClosedWithin(1_000, start, reusedClient);
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /**
     * Silent clients hold all descriptors. The clients that wait in the listener's backlog must be accepted before the
     * listener closes.
     */
    @Test
    void clientsInTheBacklogGetAResponseBeforeTheListenerCloses() throws Exception {
        sockets = 64;
        setDeadlines(settings(), 1_000, 400);
        startAndAwaitHealthy();
        for (int i = 0; i < DescriptorBudget.forClients(sockets).limit(); i++) {
            client();
        }
        List<TestClient> backlog = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            backlog.add(client());
            sendRequest(backlog.get(i), "u" + i, 1_000);
        }
        process.destroy();
        for (TestClient each : backlog) {
            assertResponse(each);
        }
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /**
     * SIGHUP loads shorter deadlines, then SIGTERM arrives: a transaction accepted under the longer deadlines must not
     * outlive the process.
     */
    @Test
    void transactionAcceptedUnderLongerDeadlinesGetsAResponseBeforeTheExit() throws Exception {
        setDeadlines(settings(), 9_000, 4_000);
        endpoint.responder = r -> HANG;
        startAndAwaitHealthy();
        TestClient client = client();
        client.write(transaction("post-charge", "t", 8_000));
        eventually(() -> endpoint.received("t"));
        reload(setDeadlines(settings().copy(), 400, 200));
        long start = System.nanoTime();
        process.destroy();
        assertResponse(client);
        assertClosedWithin(1_100, start, client);
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
    }

    /**
     * SIGHUP after SIGTERM loads other deadlines. Even a transaction accepted under longer deadlines gets its response
     * before the time at which the process was to exit.
     */
    @ParameterizedTest
    @ValueSource(longs = {9_000, 100})
    void reloadAfterSigtermDoesNotDelayTheExit(long deadlineMillis) throws Exception {
        setDeadlines(settings(), 1_500, 600);
        startAndAwaitHealthy();
        TestClient client = client();
        client.exchange(transaction("post-charge", "t", 1_500));
        endpoint.responder = r -> HANG;
        TestClient openClient = client();
        openClient.write(transaction("post-charge", "u", 1_500));
        eventually(() -> endpoint.received("u"));
        long start = System.nanoTime();
        process.destroy();
        eventually(() -> log().contains("code=draining"));
        reload(setDeadlines(settings().copy(), deadlineMillis, deadlineMillis / 2));
        client.write(transaction("post-charge", "v", 9_000));
        assertResponse(client);
        assertResponse(openClient);
        assertClosedWithin(2_200, start, client, openClient);
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /**
     * Clients are accepted just before the listener closes and send their requests only after that. Each must get a
     * response instead of a closed connection.
     */
    @Test
    void clientAcceptedJustBeforeTheListenerClosesGetsAResponse() throws Exception {
        setDeadlines(settings(), 300, 150);
        startAndAwaitHealthy();
        long start = System.nanoTime();
        process.destroy();
        List<TestClient> clients = new ArrayList<>();
        // The listener closes 600 ms after SIGTERM, because no client is connected then.
        for (int connectAtMillis : new int[] {540, 550, 560, 570, 580}) {
            pause(Math.max(0, connectAtMillis - (System.nanoTime() - start) / 1_000_000));
            clients.add(client());
        }
        pause(Math.max(0, 630 - (System.nanoTime() - start) / 1_000_000));
        for (TestClient each : clients) {
            assertResponse(sendRequest(each, "u" + clients.indexOf(each)));
        }
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /**
     * The second SIGHUP arrives while the file is being read for the first. The file is a named pipe, whose content the
     * test writes. The content that is read last takes effect, and neither read gets a part of the other's content.
     */
    @Test
    void secondOfTwoOverlappingReloadsTakesEffect() throws Exception {
        startAndAwaitHealthy();
        StubDiscovery[] discoveries = {new StubDiscovery(r -> HANG), new StubDiscovery(r -> HANG)};
        closeables.addAll(List.of(discoveries));
        Path pipe = dir.resolve("config.json");
        JsonObject original = new JsonObject(Files.readString(pipe));
        Files.delete(pipe);
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        signal("HUP");
        OutputStream firstWrite = openOnceSidecarReads(pipe);
        signal("HUP");
        pause(200);
        writeConfig(firstWrite, original, discoveries[0]);
        writeConfig(openOnceSidecarReads(pipe), original, discoveries[1]);
        eventually(() -> !discoveries[1].requests.isEmpty());
    }

    /**
     * Opens a named pipe for writing once the sidecar has opened it for reading, and fails if the sidecar does not. The
     * wait is needed because data written to a pipe without a reader is lost, and because only one of two pending
     * signals is delivered. Another process opens the pipe, because a thread that blocks there cannot be interrupted.
     */
    private OutputStream openOnceSidecarReads(Path pipe) throws Exception {
        Process writer = new ProcessBuilder(
                        "sh", "-c", "exec 3> \"$0\" && echo opened && exec cat >&3", pipe.toString())
                .start();
        closeables.add(writer::destroyForcibly);
        eventually(() -> available(writer) > 0);
        return writer.getOutputStream();
    }

    private static int available(Process process) {
        try {
            return process.getInputStream().available();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes a configuration with this discovery address, and waits until the sidecar has read it. */
    private void writeConfig(OutputStream pipe, JsonObject original, StubDiscovery newDiscovery) throws Exception {
        int readsBefore = log().split("code=read", -1).length;
        try (pipe) {
            pipe.write(original.copy()
                    .put("discovery", "127.0.0.1:" + newDiscovery.port())
                    .encode()
                    .getBytes(StandardCharsets.UTF_8));
        }
        eventually(() -> log().split("code=read", -1).length == readsBefore + 1);
    }

    /**
     * Connections are kept until shortly before the exit, but not a connection whose client has stopped in the middle
     * of a request.
     */
    @Test
    void connectionWithAnIncompleteRequestIsNotKeptUntilTheExit() throws Exception {
        startAndAwaitHealthy();
        TestClient client = client();
        assertResponse(sendRequest(client, "t", 1_500));
        process.destroy();
        eventually(() -> log().contains("code=draining"));
        client.write("POST /post-charge HTTP/1.1\r\nHost: h\r\nContent-Len");
        Stopwatch watch = new Stopwatch();
        assertEquals("", client.read());
        assertTrue(watch.milliseconds() < 2_700, "closed after " + watch.milliseconds() + " ms");
    }
}
