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

/** SIGHUP makes the running program read its configuration again. */
class ConfigReloadIT extends SidecarFixture {

    /**
     * The address of discovery changes, after some invalid files. After SIGHUP the watch is opened at the address of
     * the file, once and from the version held on. Open transactions and the endpoint list are kept. An invalid file
     * keeps the old address.
     */
    @Test
    void reloadSwitchesDiscoveryAndKeepsOpenTransactions() throws Exception {
        StubEndpoint first = endpoint(r -> {
            pause(200);
            return response(200, "", "good");
        });
        endpoint(r -> response(200, "", "good"));
        StubDiscovery newDiscovery = new StubDiscovery(r -> HANG);
        closeables.add(newDiscovery);
        startAndAwaitHealthy();
        eventually(() -> discovery.requests.size() == 1);
        Path file = dir.resolve("config.json");
        JsonObject changed = new JsonObject(Files.readString(file));
        assertInvalidFilesChangeNothing(file, changed);
        TestClient client = client();
        client.write(transaction("post-charge", "t", 2_000));
        changed.put("discovery", "127.0.0.1:" + newDiscovery.port())
                .getJsonObject("limits")
                .put("sockets", 512);
        Files.writeString(file, changed.encode());
        for (int i = 0; i < 3; i++) {
            signal("HUP");
            pause(20);
        }
        assertTrue(client.read().startsWith("HTTP/1.1 200 "));
        eventually(() -> newDiscovery.requests.size() == 1 && discovery.closedConnections.size() == 1);
        assertTrue(
                newDiscovery.requests.get(0).startsWith("GET /catalog/members?stream=1&index=7 "),
                newDiscovery.requests.get(0));
        assertTrue(log().contains("at_restart=[limits]"), log());
        newDiscovery.writeLine(listLine(8, false, entry(0, "leaving")));
        eventually(() -> counters().getLong("list_lines") == 1);
        assertNothingIsSentTo(first, client);
        assertEquals(1, newDiscovery.connectionCount.get() + newDiscovery.closedConnections.size());
        client.close();
        process.destroy();
        assertTrue(process.waitFor(2, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    private void assertInvalidFilesChangeNothing(Path file, JsonObject changed) throws Exception {
        for (String text :
                List.of("{\"name\":", changed.copy().put("discovery", "nowhere").encode())) {
            Files.writeString(file, text);
            signal("HUP");
            eventually(() -> log().contains(text.endsWith(":") ? "code=unreadable" : "discovery: must be host:port"));
        }
        assertEquals(0, discovery.closedConnections.size());
    }

    private static void assertNothingIsSentTo(StubEndpoint drained, TestClient client) throws Exception {
        int before = drained.requests.size();
        for (int i = 0; i < 20; i++) {
            assertTrue(client.exchange(transaction("quote", "u" + i, 900)).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, drained.requests.size());
    }

    /**
     * Guards against a SIGHUP during startup that ends the program with status 129, because the JVM's own handler is
     * still installed.
     */
    @Test
    void reloadDuringStartupIsDeferred() throws Exception {
        endpoint(r -> response(200, "", "good"));
        logClassLoading = true;
        start();
        eventually(() -> log().contains("trestlegrade.runtime.SidecarProcess "));
        signal("HUP");
        within(10_000, () -> health() == 200);
        eventually(() -> log().contains("reload code=read"));
    }

    /**
     * Guards against a SIGHUP that ends the process before the first statement of the program, when the JVM has no
     * handler or its own.
     */
    @Test
    void reloadBeforeTheFirstStatementDoesNotEndTheProgram() throws Exception {
        endpoint(r -> response(200, "", "good"));
        start();
        signal("HUP");
        within(10_000, () -> !process.isAlive() || health() == 200);
        assertTrue(process.isAlive(), () -> "ended with status " + process.exitValue());
    }
}
