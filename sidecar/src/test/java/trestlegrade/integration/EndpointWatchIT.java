package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Watches of the endpoint list that fall silent, are delayed or rejected, or move to another address. */
class EndpointWatchIT extends EndpointListFixture {
    /**
     * A watch falls silent. 6 s after its last data all changes count as notified by the new watch, and the drain grace
     * is short. Therefore the new watch is opened before the old one is closed.
     */
    @Test
    void silentWatchIsReplacedBeforeItIsClosed() throws Exception {
        startWatched();
        discovery.writeLine(listLine(8, false, entry(0, "active")));
        awaitListLines(1);
        long last = System.nanoTime();
        eventually(() -> discovery.requests.size() == 2);
        long quietMillis = (System.nanoTime() - last) / 1_000_000;
        assertTrue(quietMillis > 2_200 && quietMillis < 4_000, "after " + quietMillis + " ms");
        assertTrue(
                discovery.requests.get(1).startsWith("GET /catalog/members?stream=1&index=8 "),
                discovery.requests.get(1));
        // The old watch was only late. Its lines are applied as long as the new one has sent nothing.
        discovery.write(0, listLine(9, false, entry(1, "leaving")) + "\n");
        awaitListLines(2);
        assertEquals(0, requestsPerEndpoint("t")[1]);
        assertEquals(0, discovery.closedConnections.size());
        discovery.write(1, listLine(10, false, entry(1, "active"), entry(0, "leaving")) + "\n");
        awaitListLines(3);
        eventually(() -> discovery.closedConnections.size() == 1);
        assertEquals(0, requestsPerEndpoint("u")[0]);
        discovery.write(1, "\n");
        pause(1_000);
        assertEquals(2, discovery.requests.size());
        assertEquals(1, counters().getJsonObject("connections_ended").getLong("watch:silent"));
    }

    /** While its replacement is rejected, a silent watch is kept until its time limit. */
    @Test
    void silentWatchIsKeptWhileDiscoveryRejectsRequests() throws Exception {
        startWatched();
        discovery.writeLine(listLine(8, false));
        awaitListLines(1);
        discovery.responder = r -> response(503, "", "");
        // Two seconds before the silent watch is closed.
        eventually(() -> discovery.requests.size() >= 2);
        discovery.write(0, listLine(9, false, entry(0, "leaving")) + "\n");
        awaitListLines(2);
        assertEquals(0, requestsPerEndpoint("t")[0]);
        discovery.responder = r -> HANG;
        int before = discovery.requests.size();
        eventually(() -> discovery.requests.size() > before);
        assertTrue(discovery.requests.get(before).contains("index=9 "), discovery.requests.get(before));
    }

    /**
     * A watch request that gets no response is repeated in parallel, well within the 6 s after which changes that it
     * misses count as notified.
     */
    @Test
    void watchRequestWithoutAResponseIsRepeatedInParallel() throws Exception {
        start();
        eventually(() -> discovery.requests.size() == 1);
        long sent = System.nanoTime();
        eventually(() -> discovery.requests.size() == 2);
        long delayMillis = (System.nanoTime() - sent) / 1_000_000;
        assertTrue(delayMillis > 2_000 && delayMillis < 4_000, "after " + delayMillis + " ms");
        discovery.writeLine(listLine(8, false, entry(0, "leaving")));
        awaitListLines(1);
        assertEquals(0, requestsPerEndpoint("t")[0]);
    }

    /**
     * Discovery is down, and idle clients hold all descriptors for clients. They take none of those that discovery
     * needs. The process can open no more descriptors than its settings allow.
     */
    @Test
    void idleClientsDoNotTakeTheDescriptorOfTheWatch() throws Exception {
        sockets = 64;
        limitDescriptors = true;
        startWatched();
        discovery.writeLine(listLine(8, false));
        awaitListLines(1);
        discovery.responder = r -> response(503, "", "");
        discovery.closeConnection(0, true);
        eventually(() -> discovery.requests.size() >= 2);
        // So many that clients wait for any free descriptor for 20 s.
        List<TestClient> idle = new ArrayList<>();
        for (int i = 0; i < 10 * sockets; i++) {
            idle.add(client());
        }
        discovery.responder = r -> HANG;
        int before = discovery.requests.size();
        // At most 2.75 s, and one second for a busy machine.
        within(3_750, () -> discovery.requests.size() > before);
        discovery.writeLine(listLine(9, false, entry(0, "leaving")));
        for (TestClient each : idle.subList(idle.size() / 10, idle.size())) {
            each.close();
        }
        awaitListLines(2);
        assertEquals(0, requestsPerEndpointUnderConnectionFlood("t")[0]);
    }

    /** The address of discovery changes while the next watch is delayed. It is not opened at the old address. */
    @Test
    void delayedWatchIsNotOpenedAtTheOldAddress() throws Exception {
        StubDiscovery newDiscovery = new StubDiscovery(r -> HANG);
        closeables.add(newDiscovery);
        discovery.responder =
                r -> response(200, "Connection: close\r\n", listLine(discovery.requests.size() + 7, false) + "\n");
        startAndAwaitHealthy();
        eventually(() -> discovery.requests.size() > 0);
        Path file = dir.resolve("config.json");
        JsonObject moved = new JsonObject(Files.readString(file)).put("discovery", "127.0.0.1:" + newDiscovery.port());
        // Directly after the end of a watch, when the next one is a second away.
        int requested = discovery.requests.size();
        eventually(() -> discovery.requests.size() > requested);
        Files.writeString(file, moved.encode());
        signal("HUP");
        eventually(() -> newDiscovery.requests.size() == 1);
        int before = discovery.requests.size();
        newDiscovery.writeLine(listLine(20, false, entry(0, "leaving")));
        pause(1_500);
        assertEquals(before, discovery.requests.size());
        assertEquals(1, newDiscovery.requests.size());
        assertEquals(0, requestsPerEndpoint("t")[0]);
    }

    /**
     * Changes of a pushed list count as notified whether or not a watch is open. The watch is reopened within a tenth
     * of any drain grace.
     */
    @Test
    void watchOfAPushedListIsReopenedImmediately() throws Exception {
        useLongTimeouts();
        settings().put("membership_mode", "pushed");
        discovery.responder = r -> HANG;
        List<Long> delaysMillis = new ArrayList<>();
        start();
        eventually(() -> discovery.requests.size() == 1);
        discovery.writeLine(listLine(8, true, entry(0, "active"), entry(1, "active")));
        eventually(() -> health() == 200);
        for (int i = 0; i < 5; i++) {
            int watch = i;
            long end = System.nanoTime();
            discovery.closeConnection(i, i % 2 == 0);
            eventually(() -> discovery.requests.size() == watch + 2);
            delaysMillis.add((System.nanoTime() - end) / 1_000_000);
            discovery.writeLine(listLine(9 + i, false, entry(i % 2, "leaving"), entry(1 - i % 2, "active")));
            awaitListLines(2 + i);
            assertEquals(0, requestsPerEndpoint("t" + i)[i % 2]);
        }
        delaysMillis.sort(null);
        // 10 ms and an event loop turn. With the backoff of polled lists it would be a second.
        assertTrue(delaysMillis.get(2) < 200, "after " + delaysMillis + " ms");
    }

    /** A new process is bound to the agent's list from its start, so it accepts nothing before it has the list. */
    @Test
    void pushedListIsAwaitedBeforeTheFirstTransaction() throws Exception {
        settings().put("membership_mode", "pushed");
        start();
        eventually(() -> discovery.requests.size() == 1);
        assertNotEquals(200, health());
        assertThrows(IOException.class, () -> new TestClient(port), "accepted a connection before the list arrived");
        discovery.writeLine(listLine(8, false, entry(0, "leaving")));
        eventually(() -> health() == 200);
        assertEquals(0, requestsPerEndpoint("t")[0]);
    }

    /** An agent that sends nothing delays the startup by two seconds. */
    @Test
    void silentAgentDoesNotBlockStartup() throws Exception {
        settings().put("membership_mode", "pushed");
        startAndAwaitHealthy();
        assertTrue(requestsPerEndpoint("t")[0] > 0);
    }
}
