package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.message;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.inbound.DescriptorBudget;
import trestlegrade.inbound.HeaderRules;
import trestlegrade.inbound.InboundHttpServer;

/** Clients that write slowly, and such as send more than is read when their answer ends the connection. */
class ClientConnectionsIT extends SidecarFixture {

    /**
     * Its connection has stood idle for nearly as long as it may; the process stands still, and when it goes on the end
     * of that time and the next transaction wait for the same turn.
     */
    @Test
    void whatComesInTheTurnInWhichItsConnectionWouldBeEnded() throws Exception {
        endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        useLongTimeouts();
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
            assertTrue(clients.get(i).exchange(transaction("quote", "t" + i, 30_000)).endsWith("t" + i));
        }
        signal("STOP");
        eventually(this::allThreadsStopped);
        pause(2_500);
        for (int i = 0; i < 20; i++) {
            clients.get(i).write(transaction("post-charge", "u" + i, 30_000));
        }
        signal("CONT");
        for (int i = 0; i < 20; i++) {
            String got = clients.get(i).read();
            assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("u" + i), got);
        }
    }

    /**
     * The one before it takes a third of its time, and no endpoint answers it: its time counts from when it was sent.
     */
    @Test
    void oneSentAheadIsAnsweredInItsOwnTime() throws Exception {
        endpoint(r -> {
            if (!"a".equals(header(r, "X-Trace-Id"))) {
                return HANG;
            }
            pause(2_000);
            return response(200, "", "good");
        });
        useLongTimeouts();
        startAndAwaitHealthy();
        TestClient client = client();
        long sent = System.nanoTime();
        client.write(transaction("post-charge", "a", 6_000) + transaction("post-charge", "b", 6_000));
        assertEquals("200", client.read().substring(9, 12));
        assertEquals("502", client.read().substring(9, 12));
        long took = (System.nanoTime() - sent) / 1_000_000;
        // A second is kept for a loop that stands still; counted from the first answer it would be 7 s.
        assertTrue(took < 6_000, "after " + took + " ms");
    }

    /**
     * It sends on, and reads nothing for longer than a connection may stand idle: more than the kernel holds for it
     * waits here. Then it reads, also while the program ends: each has its answer, and that is whole.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void oneThatReadsItsAnswersLate(boolean ends) throws Exception {
        String body = "x".repeat(InboundHttpServer.MAX_BODY_BYTES);
        endpoint(r -> response(200, "", body));
        useLongTimeouts();
        startAndAwaitHealthy();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.setSoTimeout(10_000);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            for (int i = 0; i < 150; i++) {
                socket.getOutputStream()
                        .write(transaction("quote", "t" + i, 39_000).getBytes(StandardCharsets.ISO_8859_1));
            }
            pause(3_000);
            if (ends) {
                signal("TERM");
                eventually(() -> log().contains("serve code=draining"));
                pause(1_000);
            }
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int committed = 0;
            for (int i = 0; i < 150; i++) {
                String got = message(in);
                boolean whole = got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\n" + body);
                assertTrue(
                        whole || (ends && got.startsWith("HTTP/1.1 503 ")),
                        i + ": " + got.length() + " bytes, " + got.substring(0, Math.min(100, got.length())));
                committed += whole ? 1 : 0;
            }
            assertTrue(committed > 0, "none committed");
        }
    }

    /** It has longer than any transaction may wait, and no more than that. */
    @Test
    void oneThatNeverReadsItsAnswersIsEnded() throws Exception {
        String body = "x".repeat(InboundHttpServer.MAX_BODY_BYTES);
        endpoint(r -> response(200, "", body));
        startAndAwaitHealthy();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            for (int i = 0; i < 150; i++) {
                socket.getOutputStream()
                        .write(transaction("quote", "t" + i, 39_000).getBytes(StandardCharsets.ISO_8859_1));
            }
            eventually(() -> counters().getJsonObject("connections_ended").getLong("client:unread", 0L) == 1);
        }
    }

    /** They send on and read nothing: what is held for them has a bound, and others are served. */
    @Test
    void thoseThatReadNothing() throws Exception {
        String body = "x".repeat(InboundHttpServer.MAX_BODY_BYTES);
        endpoint(r -> response(200, "", header(r, "X-Trace-Id").startsWith("t") ? body : "good"));
        useLongTimeouts();
        startAndAwaitHealthy();
        for (int i = 0; i < 30; i++) {
            TestClient client = client();
            for (int j = 0; j < 150; j++) {
                client.write(transaction("quote", "t" + i + "-" + j, 39_000));
            }
        }
        for (int i = 0; i < 200; i++) {
            assertTrue(client().exchange(transaction("quote", "u" + i, 30_000)).startsWith("HTTP/1.1 200 "));
        }
        assertTrue(process.isAlive());
    }

    /** Never silent for as long as a connection may stand, but longer as a whole. */
    @ParameterizedTest
    @CsvSource({"head, false", "body, false", "head, true", "body, true"})
    void oneThatWritesSlowlyIsServed(String part, boolean kept) throws Exception {
        endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        useLongTimeouts();
        startAndAwaitHealthy();
        TestClient client = client();
        if (kept) {
            client.exchange(transaction("quote", "before", 9_000));
            // Most of what a connection may stand idle is over when the next one begins.
            pause(1_500);
        }
        String text = transaction("post-charge", "t", 9_000)
                .replace("Content-Length: 2\r\n\r\nok", "Content-Length: 10\r\n\r\n0123456789");
        int from = part.equals("head") ? 3 : text.length() - 8;
        client.write(text.substring(0, from));
        for (int i = 0; i < 6; i++) {
            pause(500);
            client.write(text.substring(from + i, from + i + 1));
        }
        String got = client.exchange(text.substring(from + 6));
        assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\nt"), got);
    }

    /**
     * However steadily, what takes longer than any transaction may wait is ended, and before that when nothing comes.
     */
    @ParameterizedTest
    @CsvSource({"head, ''", "body, 408"})
    void oneThatDripsForEverIsEnded(String part, String status) throws Exception {
        endpoint(r -> response(200, "", "good"));
        settings()
                .put(
                        "profiles",
                        new JsonArray(settings()
                                .getJsonArray("profiles")
                                .encode()
                                .replaceAll("\"hard_limit\":\\d+", "\"hard_limit\":3500")));
        startAndAwaitHealthy();
        TestClient client = client();
        String text = transaction("post-charge", "t", 3_000)
                .replace("Content-Length: 2\r\n\r\nok", "Content-Length: 1000\r\n\r\n" + "x".repeat(1_000));
        int from = part.equals("head") ? 3 : text.length() - 990;
        client.write(text.substring(0, from));
        long start = System.nanoTime();
        Thread drip = new Thread(() -> {
            try {
                for (int i = 0; i < 100; i++) {
                    pause(100);
                    client.write(part.equals("head") ? "x" : text.substring(from + i, from + i + 1));
                }
            } catch (IOException e) {
                // Ended, as it should be.
            }
        });
        drip.start();
        String got;
        try {
            got = client.read();
        } catch (IOException e) {
            // Half a head has no answer, and what it goes on to send meets a closed connection.
            got = "";
        }
        long took = (System.nanoTime() - start) / 1_000_000;
        assertEquals(status, got.isEmpty() ? "" : got.substring(9, 12));
        assertTrue(took > 3_000 && took < 6_000, "after " + took + " ms");
        drip.join();
    }

    /**
     * In a crowd each connection ends with its answer. More of the client's waits for the turn in which that is given,
     * and the client has read nothing of it: it gets the whole answer. What it sent is answered as whole if it was read
     * before, else it goes nowhere.
     */
    @Test
    void anAnswerIsWholeThoughMoreHasComeBehindItsTransaction() throws Exception {
        Map<String, Gate> gates = new ConcurrentHashMap<>();
        String body = "x".repeat(60_000);
        StubEndpoint endpoint = endpoint(r -> {
            String trace = header(r, "X-Trace-Id");
            if (gates.containsKey(trace)) {
                gates.get(trace).awaitOpen();
            }
            return response(200, "", body);
        });
        sockets = 64;
        useLongTimeouts();
        startAndAwaitHealthy();
        for (int i = 0; i < DescriptorBudget.forClients(sockets).limit() / 2; i++) {
            client().exchange(transaction("quote", "crowd" + i, 9_000));
        }
        for (int i = 0; i < 12; i++) {
            String trace = "t" + i;
            gates.put(trace, new Gate());
            try (Socket socket = connectWithSmallBuffer()) {
                socket.getOutputStream().write(bytes(transaction("quote", trace, 9_000)));
                eventually(() -> endpoint.received(trace));
                signal("STOP");
                eventually(this::allThreadsStopped);
                gates.get(trace).open();
                socket.getOutputStream().write(bytes(transaction("quote", "behind" + i, 9_000)));
                pause(50);
                signal("CONT");
                pause(50);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String got = message(in);
                assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\n" + body), i + ": " + got.length());
                String next = message(in);
                assertEquals(!next.isEmpty(), endpoint.received("behind" + i));
                assertTrue(next.isEmpty() || (next.startsWith("HTTP/1.1 200 ") && next.endsWith("\r\n\r\n" + body)));
                assertEquals(-1, in.read());
            }
        }
    }

    private Socket connectWithSmallBuffer() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(2_048);
        socket.setSoTimeout(10_000);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return socket;
    }

    /**
     * Its answer is there at its head; it reads that only once it has written for a while, and is not cut off
     * meanwhile.
     */
    @Test
    void oneThatWritesTooMuchSlowlyIsAnswered() throws Exception {
        endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        TestClient client = client();
        client.write("POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nContent-Length: 70000\r\n\r\n");
        for (int i = 0; i < 6; i++) {
            pause(300);
            client.write("x".repeat(100));
        }
        assertTrue(client.read().startsWith("HTTP/1.1 413 "));
        assertEquals("", client.read());
    }

    /** What cannot be read is answered at once; the rest, still being sent, must not take that answer along. */
    @ParameterizedTest
    @ValueSource(strings = {"two lengths", "no length", "long head"})
    void whatCannotBeReadIsAnsweredWholeWhileItsRestIsBeingSent(String fault) throws Exception {
        endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        String head = "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\n"
                + switch (fault) {
                    case "two lengths" -> "Content-Length: 4000000\r\nTransfer-Encoding: chunked\r\n\r\n";
                    case "no length" -> "Content-Length: much\r\n\r\n";
                    default -> "A: " + "x".repeat(20_000) + "\r\n\r\n";
                };
        for (int i = 0; i < 5; i++) {
            String got = client().exchange(head + "x".repeat(4_000_000));
            assertTrue(
                    got.startsWith(fault.equals("long head") ? "HTTP/1.1 431 " : "HTTP/1.1 400 ")
                            && got.endsWith("\r\n\r\n"),
                    got);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A crowd that says nothing holds all descriptors: whoever comes behind it is answered in its own time. */
    @ParameterizedTest
    @CsvSource({"60, false", "60, true", "150, false"})
    void aSilentCrowdMakesRoomForThoseThatSend(int crowd, boolean behindAStall) throws Exception {
        sockets = 64;
        endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        if (behindAStall) {
            signal("STOP");
            pause(3_000);
            signal("CONT");
            pause(300);
        }
        for (int i = 0; i < crowd; i++) {
            client();
        }
        TestClient next = client();
        Stopwatch watch = new Stopwatch();
        String got = next.exchange(transaction("post-charge", "t", 2_900));
        assertTrue(got.startsWith("HTTP/1.1 200 "), "after " + watch.milliseconds() + " ms: " + got);
        assertTrue(watch.milliseconds() < 2_900, "after " + watch.milliseconds() + " ms");
    }

    /**
     * Clients in the midst of their bodies hold all descriptors for two seconds, or a silent crowd came while the
     * process stood still; one waits for that to be let in.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatWaitedForADescriptorIsToldNoMoreTimeThanIsLeft(boolean stopped) throws Exception {
        sockets = 64;
        long[] seenAt = {0};
        StubEndpoint endpoint = endpoint(r -> {
            seenAt[0] = System.nanoTime();
            return response(200, "", "good");
        });
        startAndAwaitHealthy();
        if (stopped) {
            signal("STOP");
        }
        for (int i = 0; i < 30; i++) {
            client().write(
                            stopped
                                    ? ""
                                    : "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: b" + i
                                            + "\r\nContent-Length: 9\r\n\r\nb");
        }
        TestClient next = client();
        long asked = System.nanoTime();
        next.write(transaction("post-charge", "t", 2_900));
        if (stopped) {
            pause(1_500);
            signal("CONT");
        }
        String got = next.read();
        if (got.startsWith("HTTP/1.1 200 ")) {
            long told = HeaderRules.timeoutTicks(header(endpoint.requests.get(0), "X-Expires-In")) / 10;
            long left = 2_900 - (seenAt[0] - asked) / 1_000_000;
            assertTrue(told <= left + 150, "told " + told + " ms with " + left + " ms left");
        } else {
            assertTrue(got.startsWith("HTTP/1.1 503 "), got);
        }
        assertTrue(System.nanoTime() - asked < 2_900_000_000L, "answered behind its time");
    }
}
