package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.transaction;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Lines of the endpoint list that are split, malformed, or arrive together with requests. */
class EndpointListIT extends EndpointListFixture {
    /**
     * Discovery writes its list over several lines, and the network splits them anywhere. A reader that takes lines or
     * packets for objects misses a drain.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100_000})
    void indentedListsAreReadHoweverTheyAreSplit(int length) throws Exception {
        startWatched();
        String text = new JsonObject(listLine(8, true, entry(0, "active"), entry(1, "active"))).encodePrettily() + "\n"
                + new JsonObject(listLine(9, false, entry(0, "leaving"))).encodePrettily();
        for (int i = 0; i < text.length(); i += length) {
            discovery.write(0, text.substring(i, Math.min(text.length(), i + length)));
        }
        awaitListLines(2);
        assertEquals(0, requestsPerEndpoint("t")[0]);
        assertEquals(1, discovery.requests.size());
    }

    /**
     * A line of the list is malformed. The version held advances only with changes that were applied, so the line is
     * requested again.
     */
    @ParameterizedTest
    @CsvSource(
            value = {
                "{'index':8,'snapshot':false}|0",
                "{'index':8,'endpoints':{}}|0",
                "{'index':8,'endpoints':null}|0",
                "{'index':null,'endpoints':[LEAVING]}|1",
                "{'index':'x','endpoints':[LEAVING]}|1",
                "{'index':8,'snapshot':'yes','endpoints':[LEAVING]}|1",
                "nonsense|0",
                "[8]|0",
                "{'index':8,'endpoints':[}|0"
            },
            delimiter = '|')
    void malformedLineIsRequestedAgain(String line, int applied) throws Exception {
        startWatched();
        discovery.writeLine(
                line.replace('\'', '"').replace("LEAVING", entry(0, "leaving").encode()));
        eventually(() -> discovery.requests.size() == 2);
        assertTrue(
                discovery.requests.get(1).startsWith("GET /catalog/members?stream=1&index=7 "),
                discovery.requests.get(1));
        assertEquals(1, counters().getLong("list_lines_bad"));
        assertTrue(log().contains("list code=bad-line cause="));
        int[] counts = requestsPerEndpoint("t");
        assertTrue(applied == 1 ? counts[0] == 0 : counts[0] > 0 && counts[1] > 0, counts[0] + " and " + counts[1]);
        discovery.writeLine(listLine(8, false, entry(0, "leaving")));
        eventually(() -> receivesNothing(0));
        assertEquals(0, requestsPerEndpoint("u")[0]);
    }

    /**
     * One entry of a line is malformed. What it states beyond doubt is applied, in a change and in a snapshot, and so
     * are the other entries.
     */
    @ParameterizedTest
    @CsvSource(
            value = {
                "{'name':'s-0','status':'left','address':7}|removed",
                "{'name':'s-0','status':'leaving','address':null}|removed",
                "{'name':'s-0','status':'leaving','zone':[]}|removed",
                "{'name':'s-0','status':'active','address':'nowhere'}|kept",
                "{'name':'s-0','status':'active','address':'ADDRESS','weight':'heavy'}|kept",
                "{'name':'s-0','status':'active','address':'ADDRESS','weight':-1}|kept",
                "{'name':'s-0','status':'active','address':'ADDRESS','since_ms':'then'}|kept",
                "{'name':7,'status':'leaving','address':'ADDRESS'}|removed",
                "{'name':7,'status':'active','address':'ADDRESS'}|kept",
                "{'name':'s-9','status':'left','address':7}|ignored",
                "{'name':null,'status':'left'}|ignored",
                "7|ignored",
                "null|ignored"
            },
            delimiter = '|')
    void malformedEntryIsAppliedAsFarAsItIsClear(String malformed, String expected) throws Exception {
        startWatched();
        String entry = malformed
                .replace('\'', '"')
                .replace("ADDRESS", entry(0, "active").getString("address"));
        for (boolean snapshot : new boolean[] {false, true}) {
            String bothActive = listLine(8, true, entry(0, "active"), entry(1, "active"));
            discovery.writeLine(bothActive);
            String line = listLine(9, snapshot, entry(1, "active"));
            discovery.writeLine(line.replace("[{", "[" + entry + ",{"));
            awaitListLines(snapshot ? 4 : 2);
            int first = requestsPerEndpoint("t" + snapshot)[0];
            boolean kept = expected.equals("kept") || (expected.equals("ignored") && !snapshot);
            assertTrue(kept ? first > 0 : first == 0, (snapshot ? "snapshot: " : "change: ") + first);
            // The entry of an endpoint that has left is valid if it has a name.
            boolean valid = malformed.contains("'s-") && malformed.contains("'left'");
            assertEquals(valid ? 0 : snapshot ? 2 : 1, counters().getLong("list_entries_bad"));
        }
        assertEquals(1, discovery.requests.size());
    }

    /**
     * A line ends in the middle of an object, and only empty lines follow. Those do not confirm the list there, so
     * another watch is requested for the rest.
     */
    @Test
    void unfinishedLineIsRequestedAgain() throws Exception {
        startWatched();
        discovery.write(0, "{\"index\":8,\"snapshot\":false,\"endpoints\":[");
        discovery.heartbeats = true;
        within(5_000, () -> discovery.requests.size() == 2);
        discovery.write(1, listLine(8, false, entry(0, "leaving")) + "\n");
        awaitListLines(1);
        assertEquals(0, requestsPerEndpoint("t")[0]);
    }

    /**
     * The process is suspended, so a line and the end of its watch wait for the same event loop turn. The line is
     * applied or requested again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lineReadTogetherWithTheEndOfItsWatchIsNotLost(boolean reset) throws Exception {
        startWatched();
        discovery.writeLine(listLine(8, false));
        awaitListLines(1);
        signal("STOP");
        eventually(this::allThreadsStopped);
        discovery.writeLine(listLine(9, false, entry(0, "leaving")));
        discovery.closeConnection(0, reset);
        signal("CONT");
        eventually(() -> discovery.requests.size() == 2);
        String request = discovery.requests.get(1);
        // A reset may discard unread data; then the change is requested again.
        assertTrue(request.contains("index=9 ") || (reset && request.contains("index=8 ")), request);
        discovery.writeLine(listLine(10, false, entry(0, "leaving")));
        awaitListLines(request.contains("index=9 ") ? 3 : 2);
        assertEquals(0, requestsPerEndpoint("t")[0]);
    }

    /**
     * The process is suspended, so a line and transactions on twenty connections wait for the same event loop turn. The
     * endpoint that has left gets none of the transactions.
     */
    @Test
    void lineIsAppliedBeforeTransactionsOfTheSameTurn() throws Exception {
        startWatched();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
            clients.get(i).exchange(transaction("quote", "t" + i, 900));
        }
        int before = stubs[0].requests.size();
        signal("STOP");
        eventually(this::allThreadsStopped);
        for (int i = 0; i < 20; i++) {
            clients.get(i).write(transaction("post-charge", "u" + i, 9_000));
        }
        discovery.writeLine(listLine(8, false, entry(0, "left")));
        // Longer than any drain grace, and than the event loop lag on a busy machine.
        pause(1_100);
        signal("CONT");
        for (TestClient each : clients) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, stubs[0].requests.size());
    }

    /** An attempt waits for its connection while its endpoint drains, leaves, or is listed at another address. */
    @ParameterizedTest
    @CsvSource({"leaving, true", "left, true", "moved, true", "leaving, false", "left, false", "moved, false"})
    void endpointThatLeavesDuringAConnectGetsNothing(String change, boolean cancelling) throws Exception {
        settings().getJsonObject("ceilings").put("cancelling", cancelling).put("dial_timeout", 8_000);
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> queue = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                queue.add(new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort()));
            }
            JsonObject active = entry(0, "active").put("address", "127.0.0.1:" + full.getLocalPort());
            initialEndpoints = new JsonArray().add(active);
            startWatched();
            TestClient client = client();
            client.write(transaction("post-charge", "t", 30_000));
            eventually(() -> counters().getLong("connects", 0L) == 1);
            JsonObject removed = active.copy().put("status", change.equals("moved") ? "left" : change);
            discovery.writeLine(listLine(8, false, removed));
            if (change.equals("moved")) {
                // Under the same name, at another address.
                discovery.writeLine(listLine(9, false, entry(0, "active")));
            }
            discovery.writeLine(listLine(10, false, entry(1, "active")));
            awaitListLines(change.equals("moved") ? 3 : 2);
            for (Socket each : queue) {
                each.close();
                full.accept().close();
            }
            try (Socket established = full.accept()) {
                established.setSoTimeout(1_000);
                assertEquals(-1, established.getInputStream().read(), "sent to an endpoint that drains or has left");
            } catch (SocketTimeoutException e) {
                throw new AssertionError("connection kept open to an endpoint that drains or has left", e);
            }
            assertTrue(client.read().startsWith("HTTP/1.1 200 "), "unsent attempt not retried at the other endpoint");
        }
    }

    private boolean receivesNothing(int endpoint) {
        try {
            return requestsPerEndpoint("x" + System.nanoTime())[endpoint] == 0;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
