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

/** Lines of the endpoint list that are cut, unusable, or meet what is being sent. */
class EndpointListIT extends EndpointListFixture {
    /**
     * Discovery writes its list over several lines, and the network cuts them anywhere. A reader that takes lines or
     * packets for objects misses a drain.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100_000})
    void indentedListsAreReadWhereverTheyAreCut(int length) throws Exception {
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
     * A line of the list is malformed. The version held moves only with what was applied, so the line is requested
     * again.
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
    void unusableLineIsRequestedAgain(String line, int applied) throws Exception {
        startWatched();
        discovery.writeLine(
                line.replace('\'', '"').replace("LEAVING", entry(0, "leaving").encode()));
        eventually(() -> discovery.requests.size() == 2);
        assertTrue(
                discovery.requests.get(1).startsWith("GET /catalog/members?stream=1&index=7 "),
                discovery.requests.get(1));
        assertEquals(1, counters().getLong("list_lines_bad"));
        assertTrue(log().contains("list code=bad-line cause="));
        int[] shares = requestsPerEndpoint("t");
        assertTrue(applied == 1 ? shares[0] == 0 : shares[0] > 0 && shares[1] > 0, shares[0] + " and " + shares[1]);
        discovery.writeLine(listLine(8, false, entry(0, "leaving")));
        eventually(() -> tries(0));
        assertEquals(0, requestsPerEndpoint("u")[0]);
    }

    /**
     * One entry of a line is malformed. What it says for sure counts, in a change and in a whole list; the other
     * entries are as listed.
     */
    @ParameterizedTest
    @CsvSource(
            value = {
                "{'name':'s-0','status':'left','address':7}|gone",
                "{'name':'s-0','status':'leaving','address':null}|gone",
                "{'name':'s-0','status':'leaving','zone':[]}|gone",
                "{'name':'s-0','status':'active','address':'nowhere'}|stays",
                "{'name':'s-0','status':'active','address':'ADDRESS','weight':'heavy'}|stays",
                "{'name':'s-0','status':'active','address':'ADDRESS','weight':-1}|stays",
                "{'name':'s-0','status':'active','address':'ADDRESS','since_ms':'then'}|stays",
                "{'name':7,'status':'leaving','address':'ADDRESS'}|gone",
                "{'name':7,'status':'active','address':'ADDRESS'}|stays",
                "{'name':'s-9','status':'left','address':7}|absent",
                "{'name':null,'status':'left'}|absent",
                "7|absent",
                "null|absent"
            },
            delimiter = '|')
    void unreadableEntryCountsForWhatItSaysForSure(String unreadable, String becomes) throws Exception {
        startWatched();
        String entry = unreadable
                .replace('\'', '"')
                .replace("ADDRESS", entry(0, "active").getString("address"));
        for (boolean whole : new boolean[] {false, true}) {
            String here = listLine(8, true, entry(0, "active"), entry(1, "active"));
            discovery.writeLine(here);
            String line = listLine(9, whole, entry(1, "active"));
            discovery.writeLine(line.replace("[{", "[" + entry + ",{"));
            awaitListLines(whole ? 4 : 2);
            int first = requestsPerEndpoint("t" + whole)[0];
            boolean stays = becomes.equals("stays") || (becomes.equals("absent") && !whole);
            assertTrue(stays ? first > 0 : first == 0, (whole ? "whole: " : "change: ") + first);
            // One that has left needs no more than its name to be read.
            boolean readable = unreadable.contains("'s-") && unreadable.contains("'left'");
            assertEquals(readable ? 0 : whole ? 2 : 1, counters().getLong("list_entries_bad"));
        }
        assertEquals(1, discovery.requests.size());
    }

    /**
     * A line is cut in the midst, and only empty lines follow. These say nothing behind half an object, so another
     * watch is requested for the rest.
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
     * The process stands still: a line and the end of its watch wait for the same turn of the event loop. The line is
     * applied or requested again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lineAndTheEndOfItsWatchInOneTurn(boolean reset) throws Exception {
        startWatched();
        discovery.writeLine(listLine(8, false));
        awaitListLines(1);
        signal("STOP");
        eventually(this::allThreadsStopped);
        discovery.writeLine(listLine(9, false, entry(0, "leaving")));
        discovery.closeConnection(0, reset);
        signal("CONT");
        eventually(() -> discovery.requests.size() == 2);
        String asked = discovery.requests.get(1);
        // A reset may cost what had not been read; then the change is asked for.
        assertTrue(asked.contains("index=9 ") || (reset && asked.contains("index=8 ")), asked);
        discovery.writeLine(listLine(10, false, entry(0, "leaving")));
        awaitListLines(asked.contains("index=9 ") ? 3 : 2);
        assertEquals(0, requestsPerEndpoint("t")[0]);
    }

    /**
     * The process stands still; a line, and transactions on twenty connections, wait for the same turn of the event
     * loop. The endpoint that has left gets none of them.
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
        // Past any grace; and more than the loop's own lateness on a busy machine.
        pause(1_100);
        signal("CONT");
        for (TestClient each : clients) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, stubs[0].requests.size());
    }

    /** An attempt waits for its connection while the list says that its endpoint drains, left, or is there again. */
    @ParameterizedTest
    @CsvSource({"leaving, true", "left, true", "again, true", "leaving, false", "left, false", "again, false"})
    void endpointThatLeavesWhileAnAttemptConnectsGetsNothing(String says, boolean cancelling) throws Exception {
        settings().getJsonObject("ceilings").put("cancelling", cancelling).put("dial_timeout", 8_000);
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> queue = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                queue.add(new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort()));
            }
            JsonObject there = entry(0, "active").put("address", "127.0.0.1:" + full.getLocalPort());
            initialEndpoints = new JsonArray().add(there);
            startWatched();
            TestClient client = client();
            client.write(transaction("post-charge", "t", 30_000));
            eventually(() -> counters().getLong("connects", 0L) == 1);
            JsonObject gone = there.copy().put("status", says.equals("again") ? "left" : says);
            discovery.writeLine(listLine(8, false, gone));
            if (says.equals("again")) {
                // Under the same name, at another address.
                discovery.writeLine(listLine(9, false, entry(0, "active")));
            }
            discovery.writeLine(listLine(10, false, entry(1, "active")));
            awaitListLines(says.equals("again") ? 3 : 2);
            for (Socket each : queue) {
                each.close();
                full.accept().close();
            }
            try (Socket up = full.accept()) {
                up.setSoTimeout(1_000);
                assertEquals(-1, up.getInputStream().read(), "written to an endpoint that was known to be gone");
            } catch (SocketTimeoutException e) {
                throw new AssertionError("kept open to an endpoint that is gone", e);
            }
            assertTrue(client.read().startsWith("HTTP/1.1 200 "), "never sent, so it goes elsewhere");
        }
    }

    private boolean tries(int endpoint) {
        try {
            return requestsPerEndpoint("x" + System.nanoTime())[endpoint] == 0;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
