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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** SIGHUP: the configuration is read anew in the running program. */
class ConfigReloadIT extends SidecarFixture {

    /**
     * Discovery moves, and some of the files on the way there are bad. From SIGHUP on the file's discovery is asked,
     * once and from the version held on; what is open, the list, and the old place under a bad file stay.
     */
    @Test
    void reloadMovesDiscoveryAndKeepsWhatIsOpen() throws Exception {
        StubEndpoint first = endpoint(r -> {
            pause(200);
            return response(200, "", "good");
        });
        endpoint(r -> response(200, "", "good"));
        StubDiscovery elsewhere = new StubDiscovery(r -> HANG);
        closeables.add(elsewhere);
        startAndAwaitHealthy();
        eventually(() -> discovery.requests.size() == 1);
        Path file = dir.resolve("config.json");
        JsonObject told = new JsonObject(Files.readString(file));
        badFilesChangeNothing(file, told);
        TestClient client = client();
        client.write(transaction("post-charge", "t", 2_000));
        told.put("discovery", "127.0.0.1:" + elsewhere.port())
                .getJsonObject("limits")
                .put("sockets", 512);
        Files.writeString(file, told.encode());
        for (int i = 0; i < 3; i++) {
            signal("HUP");
            pause(20);
        }
        assertTrue(client.read().startsWith("HTTP/1.1 200 "));
        eventually(() -> elsewhere.requests.size() == 1 && discovery.closedConnections.size() == 1);
        assertTrue(
                elsewhere.requests.get(0).startsWith("GET /catalog/members?stream=1&index=7 "),
                elsewhere.requests.get(0));
        assertTrue(log().contains("at_restart=[limits]"), log());
        elsewhere.writeLine(listLine(8, false, entry(0, "leaving")));
        eventually(() -> counters().getLong("list_lines") == 1);
        nothingGoesTo(first, client);
        assertEquals(1, elsewhere.connectionCount.get() + elsewhere.closedConnections.size());
        client.close();
        process.destroy();
        assertTrue(process.waitFor(2, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    private void badFilesChangeNothing(Path file, JsonObject told) throws Exception {
        for (String bad :
                List.of("{\"name\":", told.copy().put("discovery", "nowhere").encode())) {
            Files.writeString(file, bad);
            signal("HUP");
            eventually(() -> log().contains(bad.endsWith(":") ? "code=unreadable" : "discovery: must be host:port"));
        }
        assertEquals(0, discovery.closedConnections.size());
    }

    private static void nothingGoesTo(StubEndpoint drained, TestClient client) throws Exception {
        int before = drained.requests.size();
        for (int i = 0; i < 20; i++) {
            assertTrue(client.exchange(transaction("quote", "u" + i, 900)).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, drained.requests.size());
    }

    /** A SIGHUP while the program was starting ended it with status 129: the JVM's own handler was still in place. */
    @Test
    void aReloadDuringTheStartIsKeptUntilItCanBeDone() throws Exception {
        endpoint(r -> response(200, "", "good"));
        logClassLoading = true;
        start();
        eventually(() -> log().contains("trestlegrade.runtime.SidecarProcess "));
        signal("HUP");
        within(10_000, () -> health() == 200);
        eventually(() -> log().contains("reload code=read"));
    }

    /** A SIGHUP before the program's first line ends the process: the JVM has no handler, or its own. */
    @Test
    void aReloadBeforeTheProgramBeginsDoesNotEndIt() throws Exception {
        endpoint(r -> response(200, "", "good"));
        start();
        signal("HUP");
        within(10_000, () -> !process.isAlive() || health() == 200);
        assertTrue(process.isAlive(), () -> "ended with status " + process.exitValue());
    }
}
