package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A sidecar went on sending to drained endpoints for good: it had been started under {@code nohup}, and a child process
 * inherits ignored signals. A JVM leaves SIGHUP and SIGTERM ignored if they were at its start, also where the program
 * asks for them, so the reload that named the new address of discovery never came. Shown by plays that differ in
 * nothing but {@code nohup}, and by SigIgn in /proc/PID/status.
 */
class IgnoredSignalsIT extends SidecarFixture {
    private static final List<String> IGNORING = List.of("sh", "-c", "trap '' HUP TERM; exec \"$@\"", "sh");

    @BeforeEach
    void oneEndpoint() {
        endpoint(r -> response(200, "", "good"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"nohup", "trap"})
    void reloadIsHeardThoughTheParentIgnoresSighup(String parent) throws Exception {
        StubDiscovery elsewhere = new StubDiscovery(r -> HANG);
        closeables.add(elsewhere);
        launcher = parent.equals("nohup") ? List.of("nohup") : IGNORING;
        startAndAwaitHealthy();
        Path file = dir.resolve("config.json");
        JsonObject moved = new JsonObject(Files.readString(file)).put("discovery", "127.0.0.1:" + elsewhere.port());
        Files.writeString(file, moved.encode());
        signal("HUP");
        eventually(() -> elsewhere.requests.size() == 1);
    }

    @Test
    void itShutsDownGracefullyThoughTheParentIgnoresSigterm() throws Exception {
        launcher = IGNORING;
        startAndAwaitHealthy();
        signal("TERM");
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Started by another command than the deploy file's, it can't mend that, but says so. */
    @Test
    void aStartThatLeavesThemIgnoredIsToldInTheLogAndByAGauge() throws Exception {
        launcher = List.of("sh", "-c", "trap '' HUP TERM; while [ \"$1\" != java ]; do shift; done; exec \"$@\"", "sh");
        startAndAwaitHealthy();
        eventually(() -> log().contains("serve code=signals-ignored signals=[HUP, TERM]"));
        assertEquals(2, counters().getJsonObject("now").getLong("ignored_signals"));
    }

    @Test
    void anOrdinaryStartIgnoresNone() throws Exception {
        startAndAwaitHealthy();
        assertEquals(0, counters().getJsonObject("now").getLong("ignored_signals"));
        assertTrue(!log().contains("signals-ignored"), log());
    }
}
