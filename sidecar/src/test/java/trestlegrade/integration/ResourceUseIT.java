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

/** What a sidecar costs its machine in time and memory. */
class ResourceUseIT extends SidecarFixture {
    /**
     * What costs a start a fifth of a second or more and serves nobody is not loaded, nor later on: the events of the
     * runtime's recorder, registered at the first buffer of a kind, and the command line's library.
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
     * A selector that rounds its time-outs up to nothing wakes over and over. Twenty turns a second are for the look at
     * how late the loop is, and as many for all other regular looks.
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
        // 38 a second; with the selector's usual rounding it was 230 to 760.
        assertTrue(turns > 0 && turns < 75 * seconds, turns + " turns in " + seconds + " s");
    }

    /**
     * Three hundred transactions with the longest bodies are open at once, both ways. The process stays within its
     * memory.
     */
    @Test
    void manyOfTheLongestBodiesStayWithinItsMemory() throws Exception {
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
        for (TestClient each : clients) {
            String got = each.read();
            committed += got.startsWith("HTTP/1.1 200 ") && got.endsWith(body) ? 1 : 0;
        }
        assertTrue(committed > 200, committed + " committed");
        String peak = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmHWM"))
                .findFirst()
                .orElseThrow()
                .replaceAll("[^0-9]", "");
        assertTrue(Integer.parseInt(peak) < 192 << 10, peak + " kB");
    }

    /**
     * Nobody reads the pipe that the log goes to. A thread that waited for it would stop serving; lines are dropped and
     * counted.
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
