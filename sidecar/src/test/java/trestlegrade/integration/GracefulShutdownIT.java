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

/** The end of the program and new settings meet what is being taken, read and answered. */
class GracefulShutdownIT extends SidecarFixture {
    private final StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));

    private static JsonObject limits(JsonObject settings, long limit, long goal) {
        return settings.put(
                "profiles",
                new JsonArray(settings.getJsonArray("profiles")
                        .encode()
                        .replaceAll("\"hard_limit\":\\d+", "\"hard_limit\":" + limit)
                        .replaceAll("\"service_goal\":\\d+", "\"service_goal\":" + goal)));
    }

    private void reread(JsonObject settings) throws Exception {
        Path file = dir.resolve("config.json");
        Files.writeString(
                file,
                new JsonObject(Files.readString(file)).put("settings", settings).encode());
        int before = log().split("code=adopted", -1).length;
        signal("HUP");
        eventually(() -> log().split("code=adopted", -1).length == before + 1);
    }

    /** The program's own end is not what ends a client's connection: its answer is, or that it stood idle. */
    private static void answered(TestClient client) throws Exception {
        String got = client.read();
        assertTrue(got.startsWith("HTTP/1.1 "), "'" + got + "' in place of an answer");
    }

    /**
     * From its last connection's end on nothing can be lost: how soon the machine halts the program is not the point.
     */
    private static void closedWithin(long milliseconds, long start, TestClient... clients) throws Exception {
        for (TestClient each : clients) {
            assertEquals("", each.read());
        }
        long took = (System.nanoTime() - start) / 1_000_000;
        assertTrue(took < milliseconds, "killed after " + milliseconds + " ms, closed after " + took);
    }

    /**
     * The process stands still when it is told to end, and until all is over by its own reckoning: what has come
     * meanwhile, on connections it knows and on such as it has not accepted, waits for the same turn as its end.
     */
    @Test
    void withShortLimitsWhatCameDuringAStallIsAnsweredBeforeTheEnd() throws Exception {
        limits(settings(), 300, 150);
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            clients.add(client());
            answered(ask(clients.get(i), "t" + i));
        }
        process.destroy();
        eventually(() -> log().contains("code=draining"));
        signal("STOP");
        eventually(this::allThreadsStopped);
        for (int i = 10; i < 40; i++) {
            clients.add(client());
        }
        for (TestClient each : clients) {
            ask(each, "u" + clients.indexOf(each));
        }
        // All was over by then: it ended half a second after the signal, and its clients are expected up to 0.4 s.
        pause(700);
        signal("CONT");
        for (TestClient each : clients) {
            answered(each);
        }
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    private static TestClient ask(TestClient client, String trace) throws Exception {
        return ask(client, trace, 300);
    }

    private static TestClient ask(TestClient client, String trace, int wait) throws Exception {
        client.write(transaction("quote", trace, wait));
        return client;
    }

    /** With limits of a third of a second all goes on as long as clients come, and nothing outlives the program. */
    @Test
    void withShortLimitsItServesAsLongAsClientsCome() throws Exception {
        limits(settings(), 300, 150);
        startAndAwaitHealthy();
        TestClient kept = client();
        answered(ask(kept, "t"));
        long start = System.nanoTime();
        process.destroy();
        while (System.nanoTime() - start < 400_000_000L) {
            answered(ask(client(), "u" + System.nanoTime()));
            answered(ask(kept, "v" + System.nanoTime()));
        }
        endpoint.responder = r -> HANG;
        ask(kept, "w");
        if (System.nanoTime() - start < 700_000_000L) {
            answered(kept);
        } else {
            // The test's own thread was late, and idle connections are ended by now: it may cross that, unread.
            assertTrue(kept.read().startsWith("HTTP/1.1 ") || !endpoint.received("w"), "read, and not answered");
        }
        closedWithin(1_000, start, kept);
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /**
     * All descriptors are held by clients that say nothing; those that wait in the listener's queue are let in before
     * it ends.
     */
    @Test
    void whoWaitsInTheListenersQueueIsAnsweredBeforeItEnds() throws Exception {
        sockets = 64;
        limits(settings(), 1_000, 400);
        startAndAwaitHealthy();
        for (int i = 0; i < DescriptorBudget.forClients(sockets).limit(); i++) {
            client();
        }
        List<TestClient> queue = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            queue.add(client());
            ask(queue.get(i), "u" + i, 1_000);
        }
        process.destroy();
        for (TestClient each : queue) {
            answered(each);
        }
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** SIGHUP first, to shorter limits: what was taken under the longer ones must not outlive the program. */
    @Test
    void whatWasTakenUnderLongerLimitsIsAnsweredBeforeTheEndUnderShorterOnes() throws Exception {
        limits(settings(), 9_000, 4_000);
        endpoint.responder = r -> HANG;
        startAndAwaitHealthy();
        TestClient client = client();
        client.write(transaction("post-charge", "t", 8_000));
        eventually(() -> endpoint.received("t"));
        reread(limits(settings().copy(), 400, 200));
        long start = System.nanoTime();
        process.destroy();
        answered(client);
        closedWithin(1_100, start, client);
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
    }

    /** SIGHUP behind SIGTERM, to longer limits: what is taken under them ends with the program as well. */
    @ParameterizedTest
    @ValueSource(longs = {9_000, 100})
    void newSettingsBehindTheWordToEndDoNotMoveTheEnd(long limit) throws Exception {
        limits(settings(), 1_500, 600);
        startAndAwaitHealthy();
        TestClient client = client();
        client.exchange(transaction("post-charge", "t", 1_500));
        endpoint.responder = r -> HANG;
        TestClient open = client();
        open.write(transaction("post-charge", "u", 1_500));
        eventually(() -> endpoint.received("u"));
        long start = System.nanoTime();
        process.destroy();
        eventually(() -> log().contains("code=draining"));
        reread(limits(settings().copy(), limit, limit / 2));
        client.write(transaction("post-charge", "v", 9_000));
        answered(client);
        answered(open);
        closedWithin(2_200, start, client, open);
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Let in just before the listener ends, and sending only behind that: each gets an answer in place of its end. */
    @Test
    void whoWasJustLetInAtTheEndMaySendWhatItBrings() throws Exception {
        limits(settings(), 300, 150);
        startAndAwaitHealthy();
        long start = System.nanoTime();
        process.destroy();
        List<TestClient> clients = new ArrayList<>();
        // It closes 600 ms after the signal, for no client is left then.
        for (int at : new int[] {540, 550, 560, 570, 580}) {
            pause(Math.max(0, at - (System.nanoTime() - start) / 1_000_000));
            clients.add(client());
        }
        pause(Math.max(0, 630 - (System.nanoTime() - start) / 1_000_000));
        for (TestClient each : clients) {
            answered(ask(each, "u" + clients.indexOf(each)));
        }
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /**
     * The second signal comes while the file is being read for the first (it is a pipe, whose text the test gives):
     * what is read last holds, and neither takes a part of what the other reads.
     */
    @Test
    void ofTwoWordsToRereadTheLaterHolds() throws Exception {
        startAndAwaitHealthy();
        StubDiscovery[] places = {new StubDiscovery(r -> HANG), new StubDiscovery(r -> HANG)};
        closeables.addAll(List.of(places));
        Path file = dir.resolve("config.json");
        JsonObject before = new JsonObject(Files.readString(file));
        Files.delete(file);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        signal("HUP");
        OutputStream first = readBySidecar(file);
        signal("HUP");
        pause(200);
        giveDiscovery(first, before, places[0]);
        giveDiscovery(readBySidecar(file), before, places[1]);
        eventually(() -> !places[1].requests.isEmpty());
    }

    /**
     * Opens a pipe for writing once the sidecar has opened it for reading, and fails if it doesn't: what is written to
     * a pipe that nobody has open is lost, and of two signals of which none was delivered yet only one is. Another
     * process opens it, since a thread that waits there can't be interrupted.
     */
    private OutputStream readBySidecar(Path pipe) throws Exception {
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

    /** Writes a configuration with another place of discovery, and waits until the sidecar has read it. */
    private void giveDiscovery(OutputStream pipe, JsonObject before, StubDiscovery place) throws Exception {
        int read = log().split("code=read", -1).length;
        try (pipe) {
            pipe.write(before.copy()
                    .put("discovery", "127.0.0.1:" + place.port())
                    .encode()
                    .getBytes(StandardCharsets.UTF_8));
        }
        eventually(() -> log().split("code=read", -1).length == read + 1);
    }

    /** Connections are kept until the end is near, but not for one that has stopped in the midst of its request. */
    @Test
    void halfARequestIsNotHeldUntilTheEnd() throws Exception {
        startAndAwaitHealthy();
        TestClient client = client();
        answered(ask(client, "t", 1_500));
        process.destroy();
        eventually(() -> log().contains("code=draining"));
        client.write("POST /post-charge HTTP/1.1\r\nHost: h\r\nContent-Len");
        Stopwatch watch = new Stopwatch();
        assertEquals("", client.read());
        assertTrue(watch.milliseconds() < 2_700, "held for " + watch.milliseconds() + " ms");
    }
}
