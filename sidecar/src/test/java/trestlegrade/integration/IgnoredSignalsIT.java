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
 * A sidecar that had been started under {@code nohup} kept sending to drained endpoints. A child process inherits
 * ignored signals, and a JVM leaves SIGHUP and SIGTERM ignored if they were ignored at its start, even if the program
 * registers handlers. So the reload with the new address of discovery never happened. Test runs that differed only in
 * {@code nohup}, and SigIgn in /proc/PID/status, showed this cause.
 */
class IgnoredSignalsIT extends SidecarFixture {
    private static final List<String> IGNORING_SHELL = List.of("sh", "-c", "trap '' HUP TERM; exec \"$@\"", "sh");

    @BeforeEach
    void addEndpoint() {
        endpoint(r -> response(200, "", "good"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"nohup", "trap"})
    void reloadsThoughTheParentIgnoresSighup(String parent) throws Exception {
        StubDiscovery newDiscovery = new StubDiscovery(r -> HANG);
        closeables.add(newDiscovery);
        launcher = parent.equals("nohup") ? List.of("nohup") : IGNORING_SHELL;
        startAndAwaitHealthy();
        Path file = dir.resolve("config.json");
        JsonObject config = new JsonObject(Files.readString(file)).put("discovery", "127.0.0.1:" + newDiscovery.port());
        Files.writeString(file, config.encode());
        signal("HUP");
        eventually(() -> newDiscovery.requests.size() == 1);
    }

    @Test
    void shutsDownGracefullyThoughTheParentIgnoresSigterm() throws Exception {
        launcher = IGNORING_SHELL;
        startAndAwaitHealthy();
        signal("TERM");
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Without the command of the deploy file the sidecar cannot restore the signals, but it reports them. */
    @Test
    void signalsThatStayIgnoredAreLoggedAndReportedByAGauge() throws Exception {
        launcher = List.of("sh", "-c", "trap '' HUP TERM; while [ \"$1\" != java ]; do shift; done; exec \"$@\"", "sh");
        startAndAwaitHealthy();
        eventually(() -> log().contains("serve code=signals-ignored signals=[HUP, TERM]"));
        assertEquals(2, counters().getJsonObject("now").getLong("ignored_signals"));
    }

    @Test
    void ordinaryStartReportsNoIgnoredSignals() throws Exception {
        startAndAwaitHealthy();
        assertEquals(0, counters().getJsonObject("now").getLong("ignored_signals"));
        assertTrue(!log().contains("signals-ignored"), log());
    }
}
