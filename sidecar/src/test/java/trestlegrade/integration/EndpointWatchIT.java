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

/** Watches of the endpoint list that go quiet, wait, are rejected, or move. */
class EndpointWatchIT extends EndpointListFixture {
    /**
     * A watch falls silent. All counts as notified by the new watch 6 s after the last word of the old one, and the
     * grace for drains is short: so another is opened beside it first.
     */
    @Test
    void quietWatchIsReplacedBeforeItIsGivenUp() throws Exception {
        startWatched();
        discovery.writeLine(listLine(8, false, entry(0, "active")));
        awaitListLines(1);
        long last = System.nanoTime();
        eventually(() -> discovery.requests.size() == 2);
        long quiet = (System.nanoTime() - last) / 1_000_000;
        assertTrue(quiet > 2_200 && quiet < 4_000, "after " + quiet + " ms");
        assertTrue(
                discovery.requests.get(1).startsWith("GET /catalog/members?stream=1&index=8 "),
                discovery.requests.get(1));
        // The old one was only late: what it says counts as long as the new one has said nothing.
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

    /** While the watch beside it is rejected the quiet one stays, until its time is up. */
    @Test
    void quietWatchStaysWhileDiscoveryRejectsCalls() throws Exception {
        startWatched();
        discovery.writeLine(listLine(8, false));
        awaitListLines(1);
        discovery.responder = r -> response(503, "", "");
        // Two seconds before the quiet one is given up.
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
     * A call whose turn does not come is made anew beside it, well within the 6 s after which what it misses counts as
     * notified.
     */
    @Test
    void unansweredCallIsRepeatedBesideIt() throws Exception {
        start();
        eventually(() -> discovery.requests.size() == 1);
        long asked = System.nanoTime();
        eventually(() -> discovery.requests.size() == 2);
        long took = (System.nanoTime() - asked) / 1_000_000;
        assertTrue(took > 2_000 && took < 4_000, "after " + took + " ms");
        discovery.writeLine(listLine(8, false, entry(0, "leaving")));
        awaitListLines(1);
        assertEquals(0, requestsPerEndpoint("t")[0]);
    }

    /**
     * Discovery is down, and idle clients take all that clients may: none of that is taken from what discovery needs.
     * The process can hold no more descriptors than its settings say.
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
        // So many that others wait for whatever descriptor is free, for 20 s.
        List<TestClient> idle = new ArrayList<>();
        for (int i = 0; i < 10 * sockets; i++) {
            idle.add(client());
        }
        discovery.responder = r -> HANG;
        int before = discovery.requests.size();
        // 2.75 s at the most, and a second for a busy machine.
        within(3_750, () -> discovery.requests.size() > before);
        discovery.writeLine(listLine(9, false, entry(0, "leaving")));
        for (TestClient each : idle.subList(idle.size() / 10, idle.size())) {
            each.close();
        }
        awaitListLines(2);
        assertEquals(0, requestsPerEndpointUnderConnectionFlood("t")[0]);
    }

    /** Discovery moves while the next watch waits for its time. That watch is not opened where discovery was before. */
    @Test
    void waitingWatchIsNotOpenedAtTheOldAddress() throws Exception {
        StubDiscovery elsewhere = new StubDiscovery(r -> HANG);
        closeables.add(elsewhere);
        discovery.responder =
                r -> response(200, "Connection: close\r\n", listLine(discovery.requests.size() + 7, false) + "\n");
        startAndAwaitHealthy();
        eventually(() -> discovery.requests.size() > 0);
        Path file = dir.resolve("config.json");
        JsonObject moved = new JsonObject(Files.readString(file)).put("discovery", "127.0.0.1:" + elsewhere.port());
        // Right behind an end: the next begin is a second away.
        int asked = discovery.requests.size();
        eventually(() -> discovery.requests.size() > asked);
        Files.writeString(file, moved.encode());
        signal("HUP");
        eventually(() -> elsewhere.requests.size() == 1);
        int before = discovery.requests.size();
        elsewhere.writeLine(listLine(20, false, entry(0, "leaving")));
        pause(1_500);
        assertEquals(before, discovery.requests.size());
        assertEquals(1, elsewhere.requests.size());
        assertEquals(0, requestsPerEndpoint("t")[0]);
    }

    /** Lists that are pushed count whether a watch is open or not: it is open again within a tenth of any grace. */
    @Test
    void pushedListIsWatchedAgainAtOnce() throws Exception {
        useLongTimeouts();
        settings().put("membership_mode", "pushed");
        discovery.responder = r -> HANG;
        List<Long> after = new ArrayList<>();
        start();
        eventually(() -> discovery.requests.size() == 1);
        discovery.writeLine(listLine(8, true, entry(0, "active"), entry(1, "active")));
        eventually(() -> health() == 200);
        for (int i = 0; i < 5; i++) {
            int watch = i;
            long end = System.nanoTime();
            discovery.closeConnection(i, i % 2 == 0);
            eventually(() -> discovery.requests.size() == watch + 2);
            after.add((System.nanoTime() - end) / 1_000_000);
            discovery.writeLine(listLine(9 + i, false, entry(i % 2, "leaving"), entry(1 - i % 2, "active")));
            awaitListLines(2 + i);
            assertEquals(0, requestsPerEndpoint("t" + i)[i % 2]);
        }
        after.sort(null);
        // 10 ms and a turn; once a second while it went by the back-off of lists that are asked for.
        assertTrue(after.get(2) < 200, "after " + after + " ms");
    }

    /** A new process is held to the agent's list from its first moment, so it takes nothing before that has come. */
    @Test
    void pushedListComesBeforeTheFirstTransaction() throws Exception {
        settings().put("membership_mode", "pushed");
        start();
        eventually(() -> discovery.requests.size() == 1);
        assertNotEquals(200, health());
        assertThrows(IOException.class, () -> new TestClient(port), "took a connection before the list had come");
        discovery.writeLine(listLine(8, false, entry(0, "leaving")));
        eventually(() -> health() == 200);
        assertEquals(0, requestsPerEndpoint("t")[0]);
    }

    /** An agent that says nothing holds up a start for two seconds. */
    @Test
    void silentAgentDoesNotBlockTheStart() throws Exception {
        settings().put("membership_mode", "pushed");
        startAndAwaitHealthy();
        assertTrue(requestsPerEndpoint("t")[0] > 0);
    }
}
