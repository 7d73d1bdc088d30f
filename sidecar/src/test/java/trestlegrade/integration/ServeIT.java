package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.inbound.DescriptorBudget;
import trestlegrade.runtime.WarmUp;

/** Starts the built program and speaks to it over loopback sockets, as client, endpoints and discovery. */
class ServeIT extends Loopback {

    // -------------------------------------------------- what goes through

    @Test
    void goesOnAsTheBytesThatCame() throws Exception {
        Stub endpoint =
                endpoint(r -> answer(200, "Content-Type: text/x-own\r\nKeep-Alive: timeout=5\r\n", "served \u00e9\n"));
        serve();
        // The log is written on a thread of its own, behind the moment at which the sidecar calls itself healthy.
        eventually(() -> log().matches("(?s).*code=ready rehearsed=[1-9]\\d* .*"));
        assertEquals(List.of(), endpoint.seen);
        assertEquals(0, counters().getLong("taken"));
        String body = "x".repeat(64 << 10);
        String target = "/post-charge/a%2Fb;v=1//c?k=7f&x=%zz&&y=\u00c3\u00a9";
        String got = client().ask("POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a-\u00e9-1\r\n"
                + "X-Qos: post-charge\r\nX-Expires-In: 900m\r\nContent-Type: a/b\r\nX-Own: 1\r\n"
                + "Connection: keep-alive, X-Own\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\nserved \u00e9\n"), got);
        String seen = endpoint.seen.get(0);
        assertTrue(seen.startsWith("POST " + target + " HTTP/1.1\r\n"), seen.substring(0, 200));
        assertTrue(seen.endsWith("\r\n\r\n" + body));
        assertEquals("a-\u00e9-1", header(seen, "X-Trace-Id"));
        assertEquals("a/b", header(seen, "Content-Type"));
        assertNull(header(seen, "X-Own"));
        assertEquals("text/x-own", header(got, "Content-Type"));
        assertNull(header(got, "Keep-Alive"));
        long left = Long.parseLong(header(seen, "X-Expires-In").replace("u", ""));
        assertTrue(left > 100_000 && left <= 900_000, "left " + left);
        got = client().ask("GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a2\r\n\r\n");
        assertTrue(got.startsWith("HTTP/1.1 200 "), got);
        assertNull(header(endpoint.seen.get(1), "Content-Length"));
    }

    /**
     * What costs a start a fifth of a second or more and serves nobody is not loaded, nor later on: the events of the
     * runtime's recorder, registered at the first buffer of a kind, and the command line's library.
     */
    @Test
    void startsAndServesWithoutTheRecorderAndTheCommandLine() throws Exception {
        endpoint(r -> answer(200, "", "x".repeat(64 << 10)));
        verbose = true;
        serve();
        assertTrue(client().ask(transaction("quote", "t", 900)).startsWith("HTTP/1.1 200 "));
        List<String> loaded = Files.readAllLines(dir.resolve("log"), StandardCharsets.ISO_8859_1).stream()
                .filter(line -> line.contains("[class,load"))
                .toList();
        assertTrue(loaded.stream().anyMatch(line -> line.contains("trestlegrade.sidecar.Attempts")));
        assertEquals(
                List.of(),
                loaded.stream()
                        .filter(line ->
                                line.contains("ChunkEvent") || line.contains("BufferEvent") || line.contains("picocli"))
                        .toList());
    }

    /** Twenty turns a second for the look at how late the loop is, and as many for all other regular looks. */
    @Test
    void anIdleLoopSleepsBetweenItsTimers() throws Exception {
        endpoint(r -> HANG);
        serve();
        long before = counters().getLong("loop_turns");
        long start = System.nanoTime();
        pause(2_000);
        long turns = counters().getLong("loop_turns") - before;
        double seconds = (System.nanoTime() - start) / 1e9;
        // 38 a second; with the selector's usual rounding it was 230 to 760.
        assertTrue(turns > 0 && turns < 75 * seconds, turns + " turns in " + seconds + " s");
    }

    /** How long fifty transactions of the rehearsal may take, by the agreed transactions a second. */
    @ParameterizedTest
    @CsvSource({"Infinity, 1000", "500, 1000", "62.5, 1000", "8, 7812", "1, 62500"})
    void theRehearsalLastsUntilItKeepsUpWithWhatIsAgreed(double agreedRate, long round) {
        assertEquals(round, WarmUp.fastRoundTicks(agreedRate));
    }

    /** One bad endpoint beside a good one; what the client gets, and whether the bad one's attempts may be repeated. */
    @ParameterizedTest
    @CsvSource({
        "quote, turned-away, 200", "post-charge, turned-away, 200",
        "quote, not-listening, 200", "post-charge, not-listening, 200",
        "quote, closes, 200", "post-charge, closes, 502",
        "quote, closes-midway, 200", "post-charge, closes-midway, 502",
        "quote, error, 200", "post-charge, error, 502",
        "quote, unsure, 200", "post-charge, unsure, 502"
    })
    void repeatsOnlyWhatMayBeRepeated(String profile, String fault, int status) throws Exception {
        Stub good = endpoint(r -> answer(200, "", "good"));
        Stub bad = endpoint(r -> switch (fault) {
            case "turned-away" -> answer(503, "X-Never-Ran: 1\r\n", "");
            case "error" -> answer(500, "X-Never-Ran: 1\r\n", "");
            case "unsure" -> answer(503, "", "");
            case "closes-midway" -> "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
            default -> CLOSE;
        });
        if (fault.equals("not-listening")) {
            bad.close();
        }
        serve();
        Client client = client();
        int statusAtBad = 0;
        for (int i = 0; i < 200 && statusAtBad == 0; i++) {
            String trace = "t" + i;
            String got = client.ask(transaction(profile, trace, 900));
            int now = Integer.parseInt(got.substring(9, 12));
            boolean atGood = good.saw(trace);
            if (bad.saw(trace)) {
                statusAtBad = now;
                assertEquals(status == 200, atGood, "at the good one too");
            } else {
                assertEquals(200, now);
                statusAtBad = fault.equals("not-listening") && counters().getLong("connects") > i + 1 ? 200 : 0;
            }
        }
        assertEquals(status, statusAtBad);
        assertEquals(
                bad.seen.size(),
                bad.seen.stream().map(s -> header(s, "X-Trace-Id")).distinct().count());
    }

    /** A spoilt answer may have run and costs its connection, at once; the next transaction gets its own answer. */
    @ParameterizedTest
    @CsvSource(
            value = {
                "noise without an end|spoilt",
                "'\\r\\n'|spoilt",
                "HTTP/2.0 200 OK\\r\\n\\r\\n|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Le|unfinished",
                "'HTTP/1.1 2xx\\r\\n\\r\\n'|spoilt",
                "HTTP/1.1 200 OK\\r\\nno colon here\\r\\nContent-Length: 4\\r\\n\\r\\nbody|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\nmore|unfinished",
                "HTTP/1.1 200 OK\\r\\nContent-Length: -4\\r\\n\\r\\nless|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 4, 5\\r\\n\\r\\nboth|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n|spoilt",
                "HTTP/1.1 200 OK\\r\\n\\r\\nwhere does it end|spoilt",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n|spoilt",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 3000000000\\r\\n\\r\\nmuch|oversized"
            },
            delimiter = '|')
    void aSpoiltAnswerIsAnAttemptThatMayHaveRun(String answer, String code) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        Function<String, String> oddOnesSpoilt = r -> asked.getAndIncrement() % 2 == 0
                ? answer.replace("\\r", "\r").replace("\\n", "\n")
                : answer(200, "", header(r, "X-Trace-Id"));
        Stub first = endpoint(oddOnesSpoilt);
        Stub second = endpoint(oddOnesSpoilt);
        serve();
        Client client = client();
        for (int i = 0; i < 3; i++) {
            long start = System.nanoTime();
            String got = client.ask(transaction("quote", "t" + i, 1_400));
            assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("t" + i), got);
            got = client.ask(transaction("post-charge", "u" + i, 2_000));
            assertTrue(got.startsWith("HTTP/1.1 502 "), got);
            long took = (System.nanoTime() - start) / 1_000_000;
            assertTrue(took < (code.equals("unfinished") ? 800 : 200), "after " + took + " ms");
            assertTrue(client.ask(transaction("post-charge", "v" + i, 500)).endsWith("v" + i));
        }
        assertEquals(6, counters().getJsonObject("connections_ended").getLong("pooled:" + code));
        assertEquals(12, first.seen.size() + second.seen.size());
    }

    /**
     * Good answers with more than belongs to them count; what is beyond costs the connection, never another's answer.
     */
    @ParameterizedTest
    @ValueSource(strings = {"twice", "noise behind", "later", "interim", "report", "ends"})
    void whatAnAnswerBringsBesidesReachesNobody(String fault) throws Exception {
        String good = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n";
        Stub endpoint = endpoint(r -> {
            String mine = good + header(r, "X-Trace-Id");
            return switch (fault) {
                case "twice" -> mine + mine;
                case "noise behind" -> mine + "noise";
                case "interim" -> "HTTP/1.1 102 X\r\nA: b\r\n\r\nHTTP/1.1 103 X\r\n\r\n" + mine;
                case "report" -> mine.replace("Content", "Endpoint-Load-Metrics: \u0001\u007f\r\nContent");
                default -> mine;
            };
        });
        endpoint.afterwards = fault.equals("later") ? good + "xx" : fault.equals("ends") ? CLOSE : HANG;
        serve();
        boolean kept = fault.equals("interim") || fault.equals("report");
        for (int round = 0; round < 20; round++) {
            List<Client> pair = List.of(client(), client());
            for (int i = 0; i < 10; i++) {
                for (Client each : pair) {
                    String trace = pair.indexOf(each) + "" + i;
                    String got = each.ask(transaction(kept ? "quote" : "post-charge", trace, 900));
                    assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\n" + trace), got);
                }
            }
        }
        // How many rest at once goes by how fast the machine is; that none was ended for what it brought does not.
        JsonObject ended = counters().getJsonObject("connections_ended");
        boolean blamed = Stream.of("excess", "spoilt", "unfinished", "endpoint-closed", "broken")
                .anyMatch(code -> ended.containsKey("pooled:" + code));
        assertTrue(
                kept ? endpoint.connections.get() < 200 && !blamed : endpoint.connections.get() >= 200,
                () -> endpoint.connections.get() + " connections, " + ended.encode());
    }

    @ParameterizedTest
    @CsvSource({"quote, 503", "post-charge, 502"})
    void whatASilentEndpointKeepsIsAnsweredInTime(String profile, int status) throws Exception {
        Stub silent = endpoint(r -> HANG);
        serve();
        long start = System.nanoTime();
        String got = client().ask(transaction(profile, "t", 1_200));
        long took = (System.nanoTime() - start) / 1_000_000;
        assertEquals(status, Integer.parseInt(got.substring(9, 12)));
        // A quarter of the wait is kept for a loop that stands still when the answer is due.
        assertTrue(took >= 800 && took <= 1_150, "after " + took + " ms");
        eventually(() -> silent.ended.size() == 1);
        assertEquals(1, silent.seen.size());
    }

    @Test
    void aClientThatLeavesFreesWhatItHeld() throws Exception {
        Stub silent = endpoint(r -> HANG);
        serve();
        Client client = client();
        client.write(transaction("post-charge", "t", 2_900));
        eventually(() -> silent.saw("t"));
        client.close();
        eventually(() -> silent.ended.size() == 1);
        eventually(() -> counters().getLong("clients_left") == 1);
    }

    // -------------------------------------------------- what is no transaction

    @Test
    void whatIsNoTransactionGetsA4xxAndServingGoesOn() throws Exception {
        Stub endpoint = endpoint(r -> answer(200, "", "good"));
        serve();
        String[][] cases = {
            {"400", "GET /quote HTTP/1.1\r\nHost h\r\nX-Trace-Id t\r\n\r\n"},
            {"400", "nonsense\r\n\r\n"},
            {"414", "GET /quote?" + "a".repeat(100_000) + " HTTP/1.1\r\nHost: h\r\n\r\n"},
            {"431", "GET /quote HTTP/1.1\r\nHost: h\r\nA: " + "a".repeat(100_000) + "\r\n\r\n"},
            {"400", "GET /quote HTTP/1.1\r\nHost: h\r\n\r\n"},
            {"400", "GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Expires-In: soon\r\n\r\n"},
            {"400", "GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Expires-In: -5m\r\n\r\n"},
            {"400", "GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Expires-In: NaNm\r\n\r\n"},
            {"400", "GET /quote?\u00e9 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\n\r\n"},
            {"404", "GET /nothing HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\n\r\n"},
            {"404", "GET / HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\n\r\n"},
            {"404", "GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Qos: other\r\n\r\n"},
            {
                "413",
                "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nContent-Length: 65537\r\n\r\n"
                        + "x".repeat(65_537)
            },
            {
                "413",
                "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nContent-Length: 9000000\r\n\r\n"
                        + "x".repeat(9_000_000)
            },
            {"400", "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nContent-Length: -1\r\n\r\n"},
        };
        for (String[] each : cases) {
            String got = client().ask(each[1]);
            assertEquals(
                    each[0],
                    got.length() < 12 ? got : got.substring(9, 12),
                    each[1].substring(0, Math.min(80, each[1].length())));
        }
        assertEquals(List.of(), endpoint.seen);
        assertTrue(client().ask(transaction("quote", "t", 500)).startsWith("HTTP/1.1 200 "));
        JsonObject rejected = counters().getJsonObject("rejected");
        assertEquals(
                cases.length,
                rejected.stream()
                        .mapToLong(e -> ((Number) e.getValue()).longValue())
                        .sum(),
                rejected::encode);
    }

    /** Whatever a client leaves unfinished is ended in 3 s; what it has finished is answered however late. */
    @ParameterizedTest
    @CsvSource(
            value = {
                "''|''",
                "GET /quote HTTP/1.1\\r\\nHost: h\\r\\nX-Trace-Id|''",
                "'\\r\\n\\r\\n\\r\\n'|''",
                "POST /post-charge HTTP/1.1\\r\\nHost: h\\r\\nX-Trace-Id: u\\r\\nContent-Length: 9\\r\\n\\r\\nhalf|408",
                "POST /post-charge HTTP/1.1\\r\\nHost: h\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nhalf|408",
                "POST /post-charge HTTP/1.1\\r\\nHost: h\\r\\nX-Trace-Id: u\\r\\nContent-Length: 60000000\\r\\n\\r\\nx|413",
                "AGAIN|''"
            },
            delimiter = '|')
    void aClientThatFinishesNothingIsEndedInTime(String sent, String status) throws Exception {
        Stub endpoint = endpoint(r -> {
            pause(r.contains("/post-charge") ? 2_100 : 0);
            return answer(200, "", "good");
        });
        serve();
        Client usual = client();
        usual.write(transaction("post-charge", "t", 3_000));
        Client bad = client();
        if (sent.equals("AGAIN")) {
            assertTrue(bad.ask(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
        } else {
            bad.write(sent.replace("\\r", "\r").replace("\\n", "\n"));
        }
        long start = System.nanoTime();
        String got = bad.read();
        assertEquals(status, got.length() < 12 ? got : got.substring(9, 12));
        if (!got.isEmpty()) {
            assertEquals("", bad.read());
        }
        long took = (System.nanoTime() - start) / 1_000_000;
        assertTrue(took < 2_800, "after " + took + " ms");
        assertTrue(usual.read().startsWith("HTTP/1.1 200 "));
        assertEquals(sent.equals("AGAIN") ? 2 : 1, endpoint.seen.size());
    }

    /** Who reads the other length finds a second transaction in the body. */
    @Test
    void twoLengthsAreNoTransactionAndEndTheConnection() throws Exception {
        Stub endpoint = endpoint(r -> answer(200, "", "good"));
        serve();
        String inner = transaction("post-charge", "inner", 500);
        for (String lengths : List.of(
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: " + (5 + inner.length()) + "\r\n",
                "Content-Length: 3\r\nTransfer-Encoding: xchunked\r\n")) {
            Client client = client();
            String got = client.ask(
                    "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\n" + lengths + "\r\n0\r\n\r\n" + inner);
            assertTrue(got.startsWith("HTTP/1.1 400 "), got);
            assertEquals("", client.read());
        }
        assertEquals(List.of(), endpoint.seen);
    }

    @Test
    void anIdThatIsOpenElsewhereIsTurnedAwayAndItsOwnerIsServed() throws Exception {
        Stub endpoint = endpoint(r -> {
            pause(500);
            return answer(200, "", "good");
        });
        serve();
        Client owner = client();
        owner.write(transaction("post-charge", "t", 2_000));
        eventually(() -> endpoint.saw("t"));
        for (int i = 0; i < 2; i++) {
            assertTrue(client().ask(transaction("post-charge", "t", 2_000)).startsWith("HTTP/1.1 409 "));
        }
        assertTrue(owner.read().startsWith("HTTP/1.1 200 "));
        assertEquals(1, endpoint.seen.size());
        assertTrue(owner.ask(transaction("post-charge", "t", 2_000)).startsWith("HTTP/1.1 200 "));
        owner.write(transaction("post-charge", "t", 2_000));
        eventually(() -> endpoint.seen.size() == 3);
        owner.close();
        eventually(() -> counters().getLong("clients_left") == 1);
        assertTrue(client().ask(transaction("post-charge", "t", 2_000)).startsWith("HTTP/1.1 200 "));
    }

    /** All others are busy, so there is no room for those that come last; those that say nothing do not keep it. */
    @Test
    void silentConnectionsDoNotHoldTheLastDescriptors() throws Exception {
        sockets = 64;
        settings()
                .getJsonArray("profiles")
                .getJsonObject(0)
                .put("hard_limit", 40_000)
                .put("service_goal", 40_000);
        Stub endpoint = endpoint(r -> HANG);
        serve();
        int room = DescriptorBudget.forClients(sockets).most();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < room; i++) {
            clients.add(client());
            if (i < DescriptorBudget.forAttempts(sockets).most()) {
                clients.get(i).write(transaction("quote", "t" + i, 30_000));
                eventually(() -> endpoint.seen.size() == clients.size());
            }
        }
        // In the listener's queue, for all descriptors are held.
        String got = client().ask(transaction("quote", "u", 5_000));
        assertTrue(got.startsWith("HTTP/1.1 "), got);
    }

    /** Those that connect and say nothing cost the usual clients neither their connections nor a turn. */
    @Test
    void silentConnectionsMakeRoomForOnesThatSend() throws Exception {
        endpoint(r -> answer(200, "", "good"));
        sockets = 64;
        serve();
        Client kept = client();
        assertTrue(kept.ask(transaction("quote", "t", 500)).startsWith("HTTP/1.1 200 "));
        for (int i = 0; i < 14; i++) {
            client();
        }
        pause(1_000);
        for (int i = 0; i < 10; i++) {
            assertTrue(client().ask(transaction("quote", "u" + i, 500)).startsWith("HTTP/1.1 200 "));
        }
        assertTrue(kept.ask(transaction("quote", "v", 500)).startsWith("HTTP/1.1 200 "));
    }

    // -------------------------------------------------- connections

    @Test
    void connectionsAreUsedAgainAndDroppedBeforeTheEndpointWould() throws Exception {
        Stub endpoint = endpoint(r -> answer(200, "", "good"));
        settings().getJsonObject("ceilings").put("keepalive", 1_000.0);
        serve();
        Client client = client();
        for (int i = 0; i < 5; i++) {
            client.ask(transaction("quote", "t" + i, 500));
            // A connection rests for 30 ms behind an answer.
            pause(60);
        }
        assertEquals(1, endpoint.connections.get());
        assertEquals(0, endpoint.ended.size());
        long start = System.nanoTime();
        eventually(() -> endpoint.ended.size() == 1);
        assertTrue((System.nanoTime() - start) / 1_000_000 >= 700, "dropped too soon");
        client.ask(transaction("quote", "t9", 500));
        assertEquals(2, endpoint.connections.get());
    }

    /** The endpoint ends connections idle for 0.15 s under the next attempt: that costs one transaction, not all. */
    @Test
    void connectionsThatBreakAfterIdlingAreNotTrustedAgain() throws Exception {
        AtomicInteger pooled = new AtomicInteger();
        long[] last = {System.nanoTime()};
        Stub endpoint = endpoint(r -> HANG);
        endpoint.answers = r -> {
            boolean old = pooled.getAndSet(endpoint.connections.get()) == endpoint.connections.get();
            boolean idle = System.nanoTime() - last[0] > 150_000_000;
            last[0] = System.nanoTime();
            return old && idle ? CLOSE : answer(200, "", "good");
        };
        serve();
        Client client = client();
        int committed = 0;
        for (int i = 0; i < 10; i++) {
            committed += client.ask(transaction("post-charge", "t" + i, 900)).startsWith("HTTP/1.1 200 ") ? 1 : 0;
            pause(200);
        }
        // A busy machine may see the first break too late to learn of it; never learnt, every other one would break.
        assertTrue(committed >= 7, "only " + committed);
    }

    /** After a time-out a connection is trusted only if it has brought an answer since. */
    @Test
    void aTimeOutEndsTheIdleConnectionsWithoutALaterAnswer() throws Exception {
        Stub endpoint = endpoint(r -> {
            pause(100);
            return r.contains("hang") ? HANG : answer(200, "", "good");
        });
        serve();
        List<Client> clients = List.of(client(), client(), client());
        for (int i = 0; i < 3; i++) {
            clients.get(i).write(transaction("quote", "t" + i, 900));
        }
        for (Client each : clients) {
            each.read();
        }
        assertEquals(3, endpoint.connections.get());
        pause(50);
        clients.get(0).write(transaction("post-charge", "hang", 500));
        pause(50);
        assertTrue(clients.get(1).ask(transaction("quote", "u", 900)).startsWith("HTTP/1.1 200 "));
        assertEquals(0, endpoint.ended.size());
        assertTrue(clients.get(0).read().startsWith("HTTP/1.1 502 "));
        eventually(() -> endpoint.ended.size() == 2);
        pause(100);
        assertEquals(2, endpoint.ended.size());
    }

    @Test
    void anAnswerThatEndsItsConnectionIsNotFollowedByAnotherAttempt() throws Exception {
        Stub endpoint = endpoint(r -> answer(200, "Connection: close\r\n", "good"));
        serve();
        Client client = client();
        for (int i = 0; i < 20; i++) {
            assertTrue(client.ask(transaction("post-charge", "t" + i, 500)).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(20, endpoint.connections.get());
    }

    /** An endpoint whose machine says nothing takes no connection; nothing has been sent then, so all goes on. */
    @Test
    void aConnectionThatNeverComesUpIsGivenUpAndTheAttemptGoesElsewhere() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 3; i++) {
                Socket filler = new Socket();
                opened.add(filler);
                try {
                    filler.connect(silent.getLocalSocketAddress(), 100);
                } catch (IOException e) {
                    // The queue of the listener is full, as it shall be.
                }
            }
            Stub good = endpoint(r -> answer(200, "", "good"));
            known = new JsonArray()
                    .add(entry(0, "active"))
                    .add(entry(0, "active")
                            .put("name", "s-silent")
                            .put("address", "127.0.0.1:" + silent.getLocalPort()));
            serve();
            Client client = client();
            long slowest = 0;
            // After a quarter of a second without a commit the decisions may roll back early, too: never more.
            for (int i = 0; i < 40; i++) {
                long start = System.nanoTime();
                String got = client.ask(transaction("post-charge", "t" + i, 2_000));
                assertTrue(got.startsWith("HTTP/1.1 200 ") || got.startsWith("HTTP/1.1 503 "), got);
                slowest = Math.max(slowest, (System.nanoTime() - start) / 1_000_000);
                assertEquals(got.startsWith("HTTP/1.1 200 "), good.saw("t" + i));
            }
            assertTrue(good.seen.size() >= 10, good.seen.size() + " committed");
            assertTrue(slowest >= 240 && slowest < 600, "slowest after " + slowest + " ms");
        }
    }

    @Test
    void clientsBeyondTheDescriptorsAreAnsweredToo() throws Exception {
        Stub silent = endpoint(r -> HANG);
        sockets = 64;
        serve();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            clients.add(client());
            clients.get(i).write(transaction("post-charge", "t" + i, 600));
        }
        int rolledBack = 0;
        for (Client each : clients) {
            String got = each.read();
            assertTrue(got.startsWith("HTTP/1.1 50"), got);
            rolledBack += got.startsWith("HTTP/1.1 503 ") ? 1 : 0;
        }
        assertTrue(rolledBack >= 10 && rolledBack < 30, rolledBack + " rolled back");
        assertEquals(30 - rolledBack, silent.seen.size());
        silent.answers = r -> answer(200, "", "good");
        for (Client each : clients) {
            each.close();
        }
        pause(100);
        // The decisions roll back early for a while after so much silence.
        Client after = client();
        within(5_000, () -> after.tries(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
    }

    /** Clients that ask once on each connection and keep it hold no more than half of what they may. */
    @ParameterizedTest
    @ValueSource(strings = {"quote", "_health"})
    void inACrowdConnectionsEndWithTheirAnswer(String asked) throws Exception {
        endpoint(r -> answer(200, "", "good"));
        sockets = 100;
        serve();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Client each = client();
            clients.add(each);
            String got = each.ask(
                    asked.equals("quote")
                            ? transaction("quote", "t" + i, 500)
                            : "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
            assertTrue(got.startsWith("HTTP/1.1 200 "), got);
            assertEquals(i >= 19, got.toLowerCase(Locale.ROOT).contains("connection: close"), i + ": " + got);
        }
        assertTrue(clients.get(0).ask(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
        assertEquals("", clients.get(59).read());
    }

    /** Busy connections are kept however many more come; silent ones make room first. */
    @Test
    void busyConnectionsAreKept() throws Exception {
        endpoint(r -> {
            pause(r.contains("/post-charge") ? 1_500 : 0);
            return answer(200, "", "good");
        });
        sockets = 100;
        serve();
        // The loop stands still for up to half a second as it starts, and remembers that, halved each second:
        // meanwhile it makes no room by connections that may hold something unread.
        pause(2_500);
        List<Client> busy = new ArrayList<>();
        for (int i = 0; i < 25; i++) {
            busy.add(client());
            busy.get(i).write(transaction("post-charge", "t" + i, 2_500));
        }
        for (int i = 0; i < 9; i++) {
            client();
        }
        pause(700);
        for (int i = 0; i < 20; i++) {
            // The decisions may roll back early after so long without a commit; there is room in any case.
            client().ask(transaction("quote", "u" + i, 500));
        }
        assertTrue(log().contains("client code=room") && !log().contains("client code=too-many"), log());
        for (Client each : busy) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    void manyOfTheLongestBodiesStayWithinItsMemory() throws Exception {
        String body = "x".repeat(64 << 10);
        endpoint(r -> {
            pause(500);
            return answer(200, "", body);
        });
        serve();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            clients.add(client());
            clients.get(i)
                    .write("POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t" + i + "\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body);
        }
        int committed = 0;
        for (Client each : clients) {
            String got = each.read();
            committed += got.startsWith("HTTP/1.1 200 ") && got.endsWith(body) ? 1 : 0;
        }
        assertTrue(committed > 200, committed + " committed");
        String peak = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmHWM"))
                .findFirst()
                .orElseThrow()
                .replaceAll("[^0-9]", "");
        assertTrue(Integer.parseInt(peak) < 192 << 10, peak + " kB");
    }

    // -------------------------------------------------- the list

    @Test
    void nothingNewGoesToAnEndpointThatDrains() throws Exception {
        Stub first = endpoint(r -> answer(200, "", "good"));
        Stub second = endpoint(r -> answer(200, "", "good"));
        serve();
        Client client = client();
        for (int i = 0; i < 100; i++) {
            client.ask(transaction("quote", "t" + i, 500));
        }
        assertTrue(first.seen.size() > 10 && second.seen.size() > 10, first.seen.size() + " at the first");
        eventually(() -> discovery.seen.size() == 1);
        discovery.line(list(8, false, entry(0, "leaving")));
        eventually(() -> first.ended.size() == first.connections.get());
        int before = first.seen.size();
        for (int i = 0; i < 50; i++) {
            assertTrue(client.ask(transaction("quote", "u" + i, 500)).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, first.seen.size());
        discovery.line(list(9, true, entry(0, "active")));
        eventually(() -> second.ended.size() == second.connections.get());
        assertTrue(client.ask(transaction("quote", "v", 500)).startsWith("HTTP/1.1 200 "));
        assertTrue(first.saw("v"));
    }

    /** At one address only the one that started last can listen, whatever the list still says of the other. */
    @Test
    void aNewNameAtAnOldAddressTakesNothingOver() throws Exception {
        Stub first = endpoint(r -> answer(200, "", "good"));
        endpoint(r -> answer(200, "", "good"));
        serve();
        Client client = client();
        for (int i = 0; i < 50; i++) {
            client.ask(transaction("quote", "t" + i, 500));
        }
        eventually(() -> discovery.seen.size() == 1);
        assertEquals(0, first.ended.size());
        discovery.line(list(8, false, entry(0, "active").put("name", "s-new").put("since_ms", 1)));
        eventually(() -> first.ended.size() == first.connections.get());
        int before = first.seen.size();
        for (int i = 0; i < 50; i++) {
            client.ask(transaction("quote", "u" + i, 500));
        }
        assertTrue(first.seen.size() > before + 10);
        // What is said of the old one later changes nothing for the new one.
        discovery.line(list(9, false, entry(0, "left"), entry(1, "leaving"), entry(0, "active")));
        eventually(() -> counters().getLong("list_lines") == 2);
        before = first.seen.size();
        client.ask(transaction("quote", "v", 500));
        assertEquals(before + 1, first.seen.size());
        assertTrue(log().contains("pooled code=gone peer=s-0 "), log());
    }

    /** A watch that ends, is refused, is not one, or goes silent is asked for again, from the last version on. */
    @ParameterizedTest
    @ValueSource(strings = {"ends", "refused", "nonsense", "silent"})
    void aWatchThatFailsIsAskedForAgain(String fault) throws Exception {
        endpoint(r -> answer(200, "", "good"));
        discovery.beats = false;
        discovery.answers = r -> discovery.seen.size() > 1 || !fault.equals("refused") ? HANG : answer(503, "", "");
        serve();
        eventually(() -> !discovery.seen.isEmpty());
        if (!fault.equals("refused")) {
            discovery.line(list(12, false));
            eventually(() -> counters().getLong("list_lines") == 1);
        }
        if (fault.equals("ends")) {
            discovery.dropAll();
        } else if (fault.equals("nonsense")) {
            discovery.line("{\"index\":");
        }
        within(7_000, () -> discovery.seen.size() == 2);
        assertTrue(
                discovery
                        .seen
                        .get(1)
                        .startsWith("GET /catalog/members?stream=1&index=" + (fault.equals("refused") ? 7 : 12) + " "),
                discovery.seen.get(1));
        assertTrue(client().ask(transaction("quote", "t", 500)).startsWith("HTTP/1.1 200 "));
    }

    /** The process stands still past the grace; what the list said meanwhile comes before what clients sent. */
    @Test
    void aLoopThatRanLateFollowsTheListFirstAndAnswersEarlier() throws Exception {
        Stub first = endpoint(r -> answer(200, "", "good"));
        Stub second = endpoint(r -> answer(200, "", "good"));
        settings()
                .put(
                        "profiles",
                        new JsonArray(settings()
                                .getJsonArray("profiles")
                                .encode()
                                .replace("\"hard_limit\":1500", "\"hard_limit\":3000")));
        serve();
        eventually(() -> discovery.seen.size() == 1);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
            clients.get(i).ask(transaction("quote", "t" + i, 500));
        }
        Client over = client();
        over.ask(transaction("quote", "t20", 500));
        clients.get(0).write(transaction("quote", "u", 2_900));
        eventually(() -> first.saw("u") || second.saw("u"));
        signal("STOP");
        eventually(this::stopped);
        for (Client each : clients.subList(1, 20)) {
            // Long enough that a busy machine has time left for them after the stop.
            each.write(transaction("post-charge", "v" + clients.indexOf(each), 2_900));
        }
        over.write(transaction("quote", "over", 1_000));
        discovery.line(list(8, false, entry(0, "leaving")));
        pause(1_100);
        int before = first.seen.size();
        signal("CONT");
        for (Client each : clients) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, first.seen.size());
        assertTrue(over.read().startsWith("HTTP/1.1 503 "));
        assertTrue(!first.saw("over") && !second.saw("over"), "its time was over before it was read");
        second.answers = r -> HANG;
        Stopwatch watch = new Stopwatch();
        assertTrue(clients.get(0).ask(transaction("quote", "w", 2_900)).startsWith("HTTP/1.1 503 "));
        long took = watch.milliseconds();
        assertTrue(took < 2_500, "after " + took + " ms");
    }

    @Test
    void aWatchThatEndsAtOnceOverAndOverIsAskedForOnceASecond() throws Exception {
        endpoint(r -> answer(200, "", "good"));
        discovery.answers = r -> answer(200, "Connection: close\r\n", list(discovery.seen.size() + 7, false) + "\n");
        serve();
        eventually(() -> discovery.seen.size() > 0);
        int before = discovery.seen.size();
        pause(2_500);
        int asked = discovery.seen.size() - before;
        assertTrue(asked >= 1 && asked <= 3, asked + " times in 2.5 s");
    }

    @Test
    void isHealthyOnlyOnceItKnowsAnEndpoint() throws Exception {
        Stub endpoint = endpoint(r -> answer(200, "", "good"));
        known = new JsonArray();
        start();
        within(5_000, () -> health() == 503);
        assertTrue(client().ask(transaction("quote", "t", 500)).startsWith("HTTP/1.1 503 "));
        eventually(() -> !discovery.seen.isEmpty());
        discovery.line(list(8, true, entry(0, "active")));
        eventually(() -> health() == 200);
        assertTrue(client().ask(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
        assertTrue(endpoint.saw("u"));
    }

    // -------------------------------------------------- start and end

    /** Nobody else serves these clients: all goes on until the end is near, and what is taken last is answered. */
    @Test
    void onSigtermAllThatWasTakenAndStillComesIsAnswered() throws Exception {
        Stub slow = endpoint(r -> {
            pause(r.contains("/post-charge") ? 1_000 : 10);
            return r.contains("silent") ? HANG : answer(200, "", "good");
        });
        serve();
        Client busy = client();
        Client idle = client();
        idle.ask(transaction("quote", "t0", 500));
        busy.write(transaction("post-charge", "t1", 2_000));
        eventually(() -> slow.saw("t1"));
        long start = System.nanoTime();
        Stopwatch watch = new Stopwatch();
        process.destroy();
        pause(300);
        assertTrue(idle.ask(transaction("quote", "t2", 500)).startsWith("HTTP/1.1 200 "));
        assertTrue(client().ask(transaction("quote", "t3", 500)).startsWith("HTTP/1.1 200 "));
        assertEquals(503, health());
        assertTrue(busy.read().startsWith("HTTP/1.1 200 "));
        pause(2_350 - (System.nanoTime() - start) / 1_000_000);
        assertTrue(idle.ask(transaction("quote", "t4", 500)).startsWith("HTTP/1.1 200 "));
        busy.write(transaction("post-charge", "silent", 3_000));
        String last = busy.read();
        assertTrue(
                last.startsWith("HTTP/1.1 502 ")
                        && last.toLowerCase(Locale.ROOT).contains("connection: close"),
                last);
        assertEquals("", idle.read());
        assertTrue(endsWithin(2_000));
        assertTrue(watch.milliseconds() < 3_700, "ends before it is killed");
        assertEquals(0, process.exitValue());
        String log = Files.readString(dir.resolve("log"));
        assertTrue(log.contains("code=ended") && log.contains("\"taken\":6,\"committed\":5"), log);
    }

    /** Clients that wait longer than the program is left alive get their one answer before its end all the same. */
    @Test
    void onSigtermWhatWouldOutliveItIsAnsweredBeforeItsEnd() throws Exception {
        Stub mute = endpoint(r -> HANG);
        settings()
                .put(
                        "profiles",
                        new JsonArray(settings()
                                .getJsonArray("profiles")
                                .encode()
                                .replaceAll("\"hard_limit\":(1500|3000)", "\"hard_limit\":9000")));
        serve();
        Client[] clients = {client(), client()};
        clients[0].write(transaction("post-charge", "t0", 9_000));
        clients[1].write(transaction("quote", "t1", 9_000));
        eventually(() -> mute.saw("t0") && mute.saw("t1"));
        Stopwatch watch = new Stopwatch();
        process.destroy();
        assertTrue(clients[0].read().startsWith("HTTP/1.1 502 "));
        assertTrue(clients[1].read().startsWith("HTTP/1.1 503 "));
        assertTrue(endsWithin(2_000));
        assertTrue(watch.milliseconds() < 3_700, "ends before it is killed");
        assertEquals(0, process.exitValue());
    }

    @Test
    void onSigtermItEndsAsSoonAsItsClientsHave() throws Exception {
        endpoint(r -> answer(200, "", "good"));
        serve();
        Client client = client();
        client.ask(transaction("quote", "t", 500));
        process.destroy();
        pause(800);
        assertTrue(process.isAlive());
        client.close();
        assertTrue(endsWithin(500));
        assertEquals(0, process.exitValue());
    }

    /** The file's discovery is asked from SIGHUP on; what is open, the list and the old place of a bad file stay. */
    @Test
    void onSighupTheFileIsReadAnew() throws Exception {
        Stub first = endpoint(r -> {
            pause(200);
            return answer(200, "", "good");
        });
        endpoint(r -> answer(200, "", "good"));
        Stub elsewhere = new Stub(r -> HANG);
        opened.add(elsewhere);
        serve();
        eventually(() -> discovery.seen.size() == 1);
        Path file = dir.resolve("config.json");
        JsonObject told = new JsonObject(Files.readString(file));
        for (String bad :
                List.of("{\"name\":", told.copy().put("discovery", "nowhere").encode())) {
            Files.writeString(file, bad);
            signal("HUP");
            eventually(() -> log().contains(bad.endsWith(":") ? "code=unreadable" : "discovery: must be host:port"));
        }
        assertEquals(0, discovery.ended.size());
        Client client = client();
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
        eventually(() -> elsewhere.seen.size() == 1 && discovery.ended.size() == 1);
        assertTrue(elsewhere.seen.get(0).startsWith("GET /catalog/members?stream=1&index=7 "), elsewhere.seen.get(0));
        assertTrue(log().contains("at_restart=[limits]"), log());
        elsewhere.line(list(8, false, entry(0, "leaving")));
        eventually(() -> counters().getLong("list_lines") == 1);
        int before = first.seen.size();
        for (int i = 0; i < 20; i++) {
            assertTrue(client.ask(transaction("quote", "u" + i, 900)).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, first.seen.size());
        assertEquals(1, elsewhere.connections.get() + elsewhere.ended.size());
        client.close();
        process.destroy();
        assertTrue(process.waitFor(2, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /**
     * New settings load into the running program, and back is the same step: all that is taken gets one answer and goes
     * out once, what is open ends under the terms it was taken under, and drains hold for it too.
     */
    @Test
    void newSettingsLoadUnderWay() throws Exception {
        List<Gate> gates = Stream.generate(Gate::new).limit(4).toList();
        for (int i = 0; i < 2; i++) {
            endpoint(r -> {
                String trace = header(r, "X-Trace-Id");
                if (trace.matches("slow\\d")) {
                    gates.get(trace.charAt(4) - '0').pass();
                }
                pause(trace.equals("slow-last") ? 1_200 : 2);
                return answer(200, "", trace);
            });
        }
        // What is open while the settings change is open until they have, however slow the machine is.
        settings().getJsonArray("profiles").getJsonObject(1).put("hard_limit", 40_000);
        known = new JsonArray().add(entry(0, "active")).add(entry(1, "active").put("zone", "b"));
        serve();
        eventually(() -> discovery.seen.size() == 1);
        Path file = dir.resolve("config.json");
        String before = Files.readString(file);
        JsonObject moved = new JsonObject(before);
        JsonObject settings = moved.getJsonObject("settings")
                .put("azs", new JsonArray().add("c").add("b").add("a"))
                .put("zone", 1)
                .put("n_instances", 300)
                .put("my_number", 299)
                .put("weights", "live")
                .put("fees", new JsonObject().put("cross_zone", 0.12).put("connection", 0.03))
                .put("goal", new JsonObject().put("whole", 0.4).put("worst_class", 0.4))
                .put("family_info", new JsonObject().put("warm_keys", true));
        settings.getJsonObject("ceilings").put("retry_after", false);
        settings.getJsonArray("profiles")
                .add(settings.getJsonArray("profiles").getJsonObject(0).copy().put("name", "cert"));
        Client slow = client();
        for (int round = 0; round < 4; round++) {
            boolean there = round % 2 == 0;
            // As discovery does while nothing changes: a watch that is silent for 4.5 s is begun anew.
            discovery.line("");
            String held = "slow" + round;
            slow.write(transaction("post-charge", held, 30_000));
            eventually(() -> endpoints.stream().anyMatch(e -> e.saw(held)));
            AtomicInteger at = new AtomicInteger(round * 1_000);
            String now = round + "";
            List<Thread> busy = new ArrayList<>();
            List<String> wrong = new CopyOnWriteArrayList<>();
            for (int i = 0; i < 4; i++) {
                Client client = client();
                Thread thread = new Thread(() -> {
                    for (int n = 0; n < 60; n++) {
                        String trace = "t" + at.getAndIncrement();
                        String got = client.tries(transaction(n % 2 == 0 ? "quote" : "post-charge", trace, 900));
                        // On a machine that stalls some may be rolled back; none is lost, mixed up or unsure.
                        if (!got.endsWith(trace) && !got.startsWith("HTTP/1.1 503 ")) {
                            wrong.add(now + " " + got);
                        }
                    }
                });
                busy.add(thread);
                thread.start();
            }
            pause(30);
            Files.writeString(file, there ? moved.encode() : before);
            signal("HUP");
            int adopted = round + 1;
            eventually(() -> log().split("code=adopted open=[1-9]", -1).length == adopted + 1);
            gates.get(round).open();
            // The profile of the new settings is known with them and not without; zones keep their names.
            String got = client().ask(transaction("cert", "c" + round, 900));
            assertTrue(got.startsWith(there ? "HTTP/1.1 200 " : "HTTP/1.1 404 "), got);
            for (Thread each : busy) {
                each.join();
            }
            assertEquals(List.of(), wrong);
            assertTrue(slow.read().endsWith("slow" + round));
            int[] seen = endpoints.stream().mapToInt(e -> e.seen.size()).toArray();
            Client client = client();
            for (int n = 0; n < 20; n++) {
                assertTrue(client.ask(transaction("quote", "z" + round + "-" + n, 900))
                        .startsWith("HTTP/1.1 200 "));
            }
            int away = endpoints.get(0).seen.size() - seen[0];
            assertTrue(there ? away == 0 : away > 0, "in round " + round + " " + away + " went to the other zone");
        }
        // Another SIGHUP with nothing new starts nothing anew.
        signal("HUP");
        eventually(() -> log().split("reload code=read ", -1).length == 6);
        List<String> once = endpoints.stream()
                .flatMap(e -> e.seen.stream())
                .filter(r -> r.startsWith("POST"))
                .map(r -> header(r, "X-Trace-Id"))
                .toList();
        assertEquals(once.size(), once.stream().distinct().count(), "sent twice");
        assertTrue(once.size() > 400, "only " + once.size());
        assertEquals(5, log().split("code=adopted", -1).length);
        assertEquals(1, discovery.seen.size());
        JsonObject counted = counters();
        assertEquals(counted.getLong("taken"), counted.getLong("committed") + counted.getLong("rolled_back"));
        // What was taken under the settings before hears of a drain as well.
        slow.write(transaction("quote", "slow-last", 2_000));
        eventually(() -> endpoints.stream().anyMatch(e -> e.saw("slow-last")));
        int holder = endpoints.get(0).saw("slow-last") ? 0 : 1;
        Files.writeString(file, moved.encode());
        signal("HUP");
        eventually(() -> log().split("code=adopted", -1).length == 6);
        discovery.line(list(8, false, entry(1 - holder, "leaving")));
        eventually(() -> counters().getLong("list_lines") == 1);
        int seen = endpoints.get(1 - holder).seen.size();
        endpoints.get(holder).dropAll();
        assertTrue(slow.read().startsWith("HTTP/1.1 "));
        assertEquals(seen, endpoints.get(1 - holder).seen.size());
    }

    @Test
    void aLogThatNobodyReadsHoldsUpNeitherServingNorTheEnd() throws Exception {
        endpoint(r -> answer(200, "", "good"));
        output = ProcessBuilder.Redirect.PIPE;
        serve();
        for (int i = 0; i < 4_000; i++) {
            try (Client client = new Client(port)) {
                assertTrue(client.ask(transaction("quote", "t" + i, 1_000)).startsWith("HTTP/1.1 200 "));
            }
        }
        assertTrue(counters().getLong("log_lines_dropped") > 0);
        process.destroy();
        assertTrue(process.waitFor(3, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @CsvSource({
        "listen, 'nowhere', listen", "discovery, '127.0.0.1:0', discovery", "seed, 'xyz', seed", "name, '', name",
        "settings, , settings", "limits, , limits", "known, , known", "known, '{}', known"
    })
    void aBadConfigurationEndsTheProgramNamingTheKey(String key, String value, String named) throws Exception {
        endpoint(r -> HANG);
        JsonObject file = configuration();
        if (value == null) {
            file.remove(key);
        } else {
            file.put(key, value);
        }
        refused(file.encode(), named);
    }

    @ParameterizedTest
    @CsvSource({
        "profiles.0.effect, sometimes",
        "profiles.0.hard_limit, -1",
        "profiles, ",
        "safety.cold_from, x",
        "ceilings.keepalive, never",
        "n_instances, many",
        "profiles.1.name, ",
        "my_number, 3",
        "zone, 2",
        "weights, heavy",
        "fees.cross_zone, -1",
        "fees.connection, x",
        "goal.worst_class, x"
    })
    void badTermsEndTheProgramNamingTheKey(String path, String value) throws Exception {
        endpoint(r -> HANG);
        JsonObject file = configuration();
        JsonObject at = file.getJsonObject("settings");
        String[] steps = path.split("\\.");
        for (int i = 0; i < steps.length - 1; i++) {
            if (!at.containsKey(steps[i])) {
                at.put(steps[i], new JsonObject());
            }
            at = at.getValue(steps[i]) instanceof JsonArray array
                    ? array.getJsonObject(Integer.parseInt(steps[++i]))
                    : at.getJsonObject(steps[i]);
        }
        at.put(steps[steps.length - 1], value == null ? new JsonArray() : value);
        refused(file.encode(), path);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{\"name\":", "{}"})
    void aFileThatIsNoConfigurationEndsTheProgram(String text) throws Exception {
        refused(text, text.equals("{}") ? "settings" : "LB_CONFIG");
    }

    @Test
    void anAddressThatIsTakenEndsTheProgram() throws Exception {
        endpoint(r -> HANG);
        JsonObject file = configuration();
        refused(file.put("listen", "127.0.0.1:" + endpoints.get(0).port()).encode(), "listen-failed");
    }

    private void refused(String file, String named) throws Exception {
        start(file);
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertNotEquals(0, process.exitValue());
        String log = Files.readString(dir.resolve("log"));
        assertTrue(log.contains(named) && !log.contains("\tat "), log);
    }
}
