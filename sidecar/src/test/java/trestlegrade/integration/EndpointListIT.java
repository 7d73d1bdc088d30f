package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.answer;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The list of endpoints and its watch: what is cut, unusable, quiet or ends meets what is being sent. */
class EndpointListIT extends SidecarFixture {
    private final StubEndpoint[] at = {endpoint(r -> answer(200, "", "good")), endpoint(r -> answer(200, "", "good"))};

    /** What a watch brings, and when, is each test's own. */
    @BeforeEach
    void quietWatches() {
        discovery.beats = false;
    }

    /** Serves by the first endpoint and the second, both listed, with one watch open. */
    private void watched() throws Exception {
        patient();
        start();
        eventually(() -> discovery.seen.size() == 1);
        within(10_000, () -> {
            try {
                // However long the start takes, the watch is not quiet meanwhile.
                discovery.write(0, "\n");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return health() == 200;
        });
    }

    /** How many of twenty went to each. */
    private int[] shares(String trace) throws Exception {
        int[] before = {at[0].seen.size(), at[1].seen.size()};
        TestClient client = client();
        for (int i = 0; i < 20; i++) {
            assertTrue(client.ask(transaction("quote", trace + i, 9_000)).startsWith("HTTP/1.1 200 "));
        }
        client.close();
        return new int[] {at[0].seen.size() - before[0], at[1].seen.size() - before[1]};
    }

    /**
     * As above, while others hold what clients may: an answer may end its connection, and who finds no room is told so
     * (503) and comes again. All twenty are committed in the end.
     */
    private int[] sharesInACrowd(String trace) {
        int[] before = {at[0].seen.size(), at[1].seen.size()};
        AtomicInteger tries = new AtomicInteger();
        for (int i = 0; i < 20; i++) {
            eventually(() -> {
                try (TestClient client = new TestClient(port)) {
                    String got = client.ask(transaction("quote", trace + tries.incrementAndGet(), 9_000));
                    assertTrue(got.startsWith("HTTP/1.1 200 ") || got.startsWith("HTTP/1.1 503 "), got);
                    return got.startsWith("HTTP/1.1 200 ");
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
        int[] went = {at[0].seen.size() - before[0], at[1].seen.size() - before[1]};
        assertEquals(20, went[0] + went[1]);
        return went;
    }

    private void told(long lines) {
        eventually(() -> counters().getLong("list_lines", 0L) == lines);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100_000})
    void indentedListsAreReadWhereverTheyAreCut(int length) throws Exception {
        watched();
        String text = new JsonObject(list(8, true, entry(0, "active"), entry(1, "active"))).encodePrettily() + "\n"
                + new JsonObject(list(9, false, entry(0, "leaving"))).encodePrettily();
        for (int i = 0; i < text.length(); i += length) {
            discovery.write(0, text.substring(i, Math.min(text.length(), i + length)));
        }
        told(2);
        assertEquals(0, shares("t")[0]);
        assertEquals(1, discovery.seen.size());
    }

    /** The version held moves with what was applied, so a line that is unusable is asked for again. */
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
    void anUnusableLineIsAskedForAgain(String line, int applied) throws Exception {
        watched();
        discovery.line(
                line.replace('\'', '"').replace("LEAVING", entry(0, "leaving").encode()));
        eventually(() -> discovery.seen.size() == 2);
        assertTrue(discovery.seen.get(1).startsWith("GET /catalog/members?stream=1&index=7 "), discovery.seen.get(1));
        assertEquals(1, counters().getLong("list_lines_bad"));
        assertTrue(log().contains("list code=bad-line cause="));
        int[] shares = shares("t");
        assertTrue(applied == 1 ? shares[0] == 0 : shares[0] > 0 && shares[1] > 0, shares[0] + " and " + shares[1]);
        discovery.line(list(8, false, entry(0, "leaving")));
        eventually(() -> tries(0));
        assertEquals(0, shares("u")[0]);
    }

    private boolean tries(int endpoint) {
        try {
            return shares("x" + System.nanoTime())[endpoint] == 0;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** What an unreadable entry says for sure counts, in a change and in a whole list; the others are as listed. */
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
    void anUnreadableEntrySaysWhatItSays(String unreadable, String becomes) throws Exception {
        watched();
        String entry = unreadable
                .replace('\'', '"')
                .replace("ADDRESS", entry(0, "active").getString("address"));
        for (boolean whole : new boolean[] {false, true}) {
            String here = list(8, true, entry(0, "active"), entry(1, "active"));
            discovery.line(here);
            String line = list(9, whole, entry(1, "active"));
            discovery.line(line.replace("[{", "[" + entry + ",{"));
            told(whole ? 4 : 2);
            int first = shares("t" + whole)[0];
            boolean stays = becomes.equals("stays") || (becomes.equals("absent") && !whole);
            assertTrue(stays ? first > 0 : first == 0, (whole ? "whole: " : "change: ") + first);
            // One that has left needs no more than its name to be read.
            boolean readable = unreadable.contains("'s-") && unreadable.contains("'left'");
            assertEquals(readable ? 0 : whole ? 2 : 1, counters().getLong("list_entries_bad"));
        }
        assertEquals(1, discovery.seen.size());
    }

    /** All is told by the new watch 6 s after the last word of the old one, and the grace is short. */
    @Test
    void aWatchThatGoesQuietIsReplacedBeforeItIsGivenUp() throws Exception {
        watched();
        discovery.line(list(8, false, entry(0, "active")));
        told(1);
        long last = System.nanoTime();
        eventually(() -> discovery.seen.size() == 2);
        long quiet = (System.nanoTime() - last) / 1_000_000;
        assertTrue(quiet > 2_200 && quiet < 4_000, "after " + quiet + " ms");
        assertTrue(discovery.seen.get(1).startsWith("GET /catalog/members?stream=1&index=8 "), discovery.seen.get(1));
        // The old one was only late: what it says counts as long as the new one has said nothing.
        discovery.write(0, list(9, false, entry(1, "leaving")) + "\n");
        told(2);
        assertEquals(0, shares("t")[1]);
        assertEquals(0, discovery.ended.size());
        discovery.write(1, list(10, false, entry(1, "active"), entry(0, "leaving")) + "\n");
        told(3);
        eventually(() -> discovery.ended.size() == 1);
        assertEquals(0, shares("u")[0]);
        discovery.write(1, "\n");
        pause(1_000);
        assertEquals(2, discovery.seen.size());
        assertEquals(1, counters().getJsonObject("connections_ended").getLong("watch:silent"));
    }

    /** Empty lines behind half an object are no word: the rest of it never comes, and another watch is asked for it. */
    @Test
    void aLineThatIsNeverFinished() throws Exception {
        watched();
        discovery.write(0, "{\"index\":8,\"snapshot\":false,\"endpoints\":[");
        discovery.beats = true;
        within(5_000, () -> discovery.seen.size() == 2);
        discovery.write(1, list(8, false, entry(0, "leaving")) + "\n");
        told(1);
        assertEquals(0, shares("t")[0]);
    }

    /** While the one beside it is turned away the quiet one stays, until its time is up. */
    @Test
    void aQuietWatchStaysWhileDiscoveryTurnsAway() throws Exception {
        watched();
        discovery.line(list(8, false));
        told(1);
        discovery.answers = r -> answer(503, "", "");
        // Two seconds before the quiet one is given up.
        eventually(() -> discovery.seen.size() >= 2);
        discovery.write(0, list(9, false, entry(0, "leaving")) + "\n");
        told(2);
        assertEquals(0, shares("t")[0]);
        discovery.answers = r -> HANG;
        int before = discovery.seen.size();
        eventually(() -> discovery.seen.size() > before);
        assertTrue(discovery.seen.get(before).contains("index=9 "), discovery.seen.get(before));
    }

    /** The process stands still: both wait for the same turn of the loop. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLineAndTheEndOfItsWatchInOneTurn(boolean reset) throws Exception {
        watched();
        discovery.line(list(8, false));
        told(1);
        signal("STOP");
        eventually(this::stopped);
        discovery.line(list(9, false, entry(0, "leaving")));
        discovery.end(0, reset);
        signal("CONT");
        eventually(() -> discovery.seen.size() == 2);
        String asked = discovery.seen.get(1);
        // A reset may cost what had not been read; then the change is asked for.
        assertTrue(asked.contains("index=9 ") || (reset && asked.contains("index=8 ")), asked);
        discovery.line(list(10, false, entry(0, "leaving")));
        told(asked.contains("index=9 ") ? 3 : 2);
        assertEquals(0, shares("t")[0]);
    }

    /** The process stands still; a line, and transactions on twenty connections, wait for the same turn. */
    @Test
    void aLineAndTransactionsInOneTurn() throws Exception {
        watched();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
            clients.get(i).ask(transaction("quote", "t" + i, 900));
        }
        int before = at[0].seen.size();
        signal("STOP");
        eventually(this::stopped);
        for (int i = 0; i < 20; i++) {
            clients.get(i).write(transaction("post-charge", "u" + i, 9_000));
        }
        discovery.line(list(8, false, entry(0, "left")));
        // Past any grace; and more than the loop's own lateness on a busy machine.
        pause(1_100);
        signal("CONT");
        for (TestClient each : clients) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, at[0].seen.size());
    }

    /**
     * A call whose turn does not come is made anew beside it, well within the 6 s after which what it misses counts as
     * told.
     */
    @Test
    void aCallThatIsNotAnsweredIsMadeAnewBesideIt() throws Exception {
        start();
        eventually(() -> discovery.seen.size() == 1);
        long asked = System.nanoTime();
        eventually(() -> discovery.seen.size() == 2);
        long took = (System.nanoTime() - asked) / 1_000_000;
        assertTrue(took > 2_000 && took < 4_000, "after " + took + " ms");
        discovery.line(list(8, false, entry(0, "leaving")));
        told(1);
        assertEquals(0, shares("t")[0]);
    }

    /**
     * Discovery is down, and idle clients take all that clients may: none of that is taken from what discovery needs.
     * The process can hold no more descriptors than its settings say.
     */
    @Test
    void idleClientsFillTheDescriptorsWhileDiscoveryIsDown() throws Exception {
        sockets = 64;
        descriptorsBounded = true;
        watched();
        discovery.line(list(8, false));
        told(1);
        discovery.answers = r -> answer(503, "", "");
        discovery.end(0, true);
        eventually(() -> discovery.seen.size() >= 2);
        // So many that others wait for whatever descriptor is free, for 20 s.
        List<TestClient> idle = new ArrayList<>();
        for (int i = 0; i < 10 * sockets; i++) {
            idle.add(client());
        }
        discovery.answers = r -> HANG;
        int before = discovery.seen.size();
        // 2.75 s at the most, and a second for a busy machine.
        within(3_750, () -> discovery.seen.size() > before);
        discovery.line(list(9, false, entry(0, "leaving")));
        for (TestClient each : idle.subList(idle.size() / 10, idle.size())) {
            each.close();
        }
        told(2);
        assertEquals(0, sharesInACrowd("t")[0]);
    }

    /** A begin that waits for its time is not begun where discovery was before. */
    @Test
    void aMoveWhileABeginWaits() throws Exception {
        StubDiscovery elsewhere = new StubDiscovery(r -> HANG);
        opened.add(elsewhere);
        discovery.answers = r -> answer(200, "Connection: close\r\n", list(discovery.seen.size() + 7, false) + "\n");
        serve();
        eventually(() -> discovery.seen.size() > 0);
        Path file = dir.resolve("config.json");
        JsonObject moved = new JsonObject(Files.readString(file)).put("discovery", "127.0.0.1:" + elsewhere.port());
        // Right behind an end: the next begin is a second away.
        int asked = discovery.seen.size();
        eventually(() -> discovery.seen.size() > asked);
        Files.writeString(file, moved.encode());
        signal("HUP");
        eventually(() -> elsewhere.seen.size() == 1);
        int before = discovery.seen.size();
        elsewhere.line(list(20, false, entry(0, "leaving")));
        pause(1_500);
        assertEquals(before, discovery.seen.size());
        assertEquals(1, elsewhere.seen.size());
        assertEquals(0, shares("t")[0]);
    }

    /** An attempt waits for its connection while the list says that its endpoint drains, left, or is there again. */
    @ParameterizedTest
    @CsvSource({"leaving, true", "left, true", "again, true", "leaving, false", "left, false", "again, false"})
    void whatTheListSaysWhileAnAttemptConnects(String says, boolean cancelling) throws Exception {
        settings().getJsonObject("ceilings").put("cancelling", cancelling).put("dial_timeout", 8_000);
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> queue = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                queue.add(new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort()));
            }
            JsonObject there = entry(0, "active").put("address", "127.0.0.1:" + full.getLocalPort());
            known = new JsonArray().add(there);
            watched();
            TestClient client = client();
            client.write(transaction("post-charge", "t", 30_000));
            eventually(() -> counters().getLong("connects", 0L) == 1);
            JsonObject gone = there.copy().put("status", says.equals("again") ? "left" : says);
            discovery.line(list(8, false, gone));
            if (says.equals("again")) {
                // Under the same name, at another address.
                discovery.line(list(9, false, entry(0, "active")));
            }
            discovery.line(list(10, false, entry(1, "active")));
            told(says.equals("again") ? 3 : 2);
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

    /** Lists that are pushed count whether a watch is open or not: it is open again within a tenth of any grace. */
    @Test
    void aPushedListIsWatchedAgainAtOnce() throws Exception {
        patient();
        settings().put("membership_mode", "pushed");
        discovery.answers = r -> HANG;
        List<Long> after = new ArrayList<>();
        start();
        eventually(() -> discovery.seen.size() == 1);
        discovery.line(list(8, true, entry(0, "active"), entry(1, "active")));
        eventually(() -> health() == 200);
        for (int i = 0; i < 5; i++) {
            int watch = i;
            long end = System.nanoTime();
            discovery.end(i, i % 2 == 0);
            eventually(() -> discovery.seen.size() == watch + 2);
            after.add((System.nanoTime() - end) / 1_000_000);
            discovery.line(list(9 + i, false, entry(i % 2, "leaving"), entry(1 - i % 2, "active")));
            told(2 + i);
            assertEquals(0, shares("t" + i)[i % 2]);
        }
        after.sort(null);
        // 10 ms and a turn; once a second while it went by the back-off of lists that are asked for.
        assertTrue(after.get(2) < 200, "after " + after + " ms");
    }

    /** A new process is held to the agent's list from its first moment, so it takes nothing before that has come. */
    @Test
    void wherePushedTheListComesBeforeTheFirstTransaction() throws Exception {
        settings().put("membership_mode", "pushed");
        start();
        eventually(() -> discovery.seen.size() == 1);
        assertNotEquals(200, health());
        assertThrows(IOException.class, () -> new TestClient(port), "took a connection before the list had come");
        discovery.line(list(8, false, entry(0, "leaving")));
        eventually(() -> health() == 200);
        assertEquals(0, shares("t")[0]);
    }

    /** An agent that says nothing holds up a start for two seconds. */
    @Test
    void wherePushedAnAgentThatIsSilentDoesNotHoldUpTheStartForEver() throws Exception {
        settings().put("membership_mode", "pushed");
        serve();
        assertTrue(shares("t")[0] > 0);
    }
}
