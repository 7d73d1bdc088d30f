package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import trestlegrade.outbound.AttemptSender;

/** CPU and memory usage of a sidecar. */
class ResourceUseIT extends SidecarFixture {
    /**
     * Classes that take 0.2 s or more to load and are not needed to serve requests must not be loaded, neither at
     * startup nor later: the events of the Flight Recorder, which the first buffer of each kind registers, and the
     * command line library.
     */
    @Test
    void doesNotLoadTheFlightRecorderOrTheCommandLine() throws Exception {
        endpoint(r -> response(200, "", "x".repeat(64 << 10)));
        logClassLoading = true;
        startAndAwaitHealthy();
        assertTrue(client().exchange(transaction("quote", "t", 900)).startsWith("HTTP/1.1 200 "));
        List<String> loaded = Files.readAllLines(dir.resolve("log"), StandardCharsets.ISO_8859_1).stream()
                .filter(line -> line.contains("[class,load"))
                .toList();
        assertTrue(loaded.stream().anyMatch(line -> line.contains(AttemptSender.class.getName())));
        assertEquals(
                List.of(),
                loaded.stream()
                        .filter(line ->
                                line.contains("ChunkEvent") || line.contains("BufferEvent") || line.contains("picocli"))
                        .toList());
    }

    /**
     * A selector that rounds its timeouts to zero wakes up continuously. 20 turns per second are for measuring the
     * event loop lag, and as many for all other periodic checks.
     */
    @Test
    void idleEventLoopSleepsBetweenItsTimers() throws Exception {
        endpoint(r -> HANG);
        startAndAwaitHealthy();
        long before = counters().getLong("loop_turns");
        long start = System.nanoTime();
        pause(2_000);
        long turns = counters().getLong("loop_turns") - before;
        double seconds = (System.nanoTime() - start) / 1e9;
        // 38 turns per second are usual; with the selector's own rounding it was 230 to 760.
        assertTrue(turns > 0 && turns < 75 * seconds, turns + " turns in " + seconds + " s");
    }

    /**
     * 300 transactions whose request and response bodies have the maximum size are open at once. The process stays
     * within its memory limit.
     */
    @Test
    void manyBodiesOfMaxSizeStayWithinTheMemoryLimit() throws Exception {
        String body = "x".repeat(64 << 10);
        endpoint(r -> {
            pause(500);
            return response(200, "", body);
        });
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            clients.add(client());
            clients.get(i)
                    .write("POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t" + i + "\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body);
        }
        int committed = 0;
        for (TestClient client : clients) {
            String got = client.read();
            committed += got.startsWith("HTTP/1.1 200 ") && got.endsWith(body) ? 1 : 0;
        }
        assertTrue(committed > 200, committed + " committed");
        String peakKilobytes = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmHWM"))
                .findFirst()
                .orElseThrow()
                .replaceAll("[^0-9]", "");
        assertTrue(Integer.parseInt(peakKilobytes) < 192 << 10, peakKilobytes + " kB");
    }

    /**
     * Nobody reads the pipe that the log is written to. A thread that blocked on the pipe would stop serving, so lines
     * are dropped and counted.
     */
    @Test
    void unreadLogBlocksNeitherServingNorShutdown() throws Exception {
        endpoint(r -> response(200, "", "good"));
        logOutput = ProcessBuilder.Redirect.PIPE;
        startAndAwaitHealthy();
        for (int i = 0; i < 4_000; i++) {
            try (TestClient client = new TestClient(port)) {
                assertTrue(client.exchange(transaction("quote", "t" + i, 1_000)).startsWith("HTTP/1.1 200 "));
            }
        }
        assertTrue(counters().getLong("log_lines_dropped") > 0);
        process.destroy();
        assertTrue(process.waitFor(3, TimeUnit.SECONDS));
    }
}
