package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** Many sidecars that start at once, as after a release or the loss of a machine. */
@Isolated("takes all cores for some seconds, and others time what they see")
class StartupIT extends SidecarFixture {
    private static final int PROCESSES = 10;

    /** The operators require that 90% are ready within 10 s, and that each accepts transactions from then on. */
    @Test
    void ninetyPercentOfSimultaneousStartsAreReadyWithinTenSeconds() throws Exception {
        endpoint(r -> response(200, "", "good"));
        endpoint(r -> response(200, "", "good"));
        settings().put("n_instances", PROCESSES);
        List<Process> processes = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        List<Long> readyMillis = new ArrayList<>();
        try {
            long start = System.nanoTime();
            for (int i = 0; i < PROCESSES; i++) {
                processes.add(start(configuration().encode(), dir.resolve("config-" + i), dir.resolve("log-" + i)));
                ports.add(port);
            }
            List<Integer> pendingPorts = new ArrayList<>(ports);
            eventually(() -> {
                pendingPorts.removeIf(pending -> {
                    boolean ready = health(pending) == 200;
                    if (ready) {
                        readyMillis.add((System.nanoTime() - start) / 1_000_000);
                    }
                    return ready;
                });
                return pendingPorts.isEmpty();
            });
            for (int i = 0; i < PROCESSES; i++) {
                try (TestClient client = new TestClient(ports.get(i))) {
                    assertEquals(
                            "200",
                            client.exchange(transaction("post-charge", "t" + i, 3_000))
                                    .substring(9, 12));
                }
            }
        } finally {
            for (Process started : processes) {
                started.destroyForcibly().waitFor();
            }
        }
        System.out.println("starts: ready after " + readyMillis + " ms");
        assertTrue(readyMillis.get(PROCESSES * 9 / 10 - 1) < 10_000, "ready after " + readyMillis + " ms");
    }
}
