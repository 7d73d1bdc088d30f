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

/** Clients that write or read slowly, or that still send when their connection closes after a response. */
class ClientConnectionsIT extends SidecarFixture {

    /**
     * The process is suspended when connections have been idle for almost the idle limit. When it resumes, the idle
     * timeout and the next transactions wait for the same event loop turn.
     */
    @Test
    void requestInTheSameTurnAsTheIdleTimeoutIsServed() throws Exception {
        endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        useLongTimeouts();
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
            assertTrue(clients.get(i)
                    .exchange(transaction("quote", "t" + i, 30_000))
                    .endsWith("t" + i));
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
     * A pipelined request waits a third of its deadline for the one before it, and no endpoint responds to it. Its
     * deadline counts from when it was sent.
     */
    @Test
    void deadlineOfAPipelinedRequestCountsFromItsArrival() throws Exception {
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
        long durationMillis = (System.nanoTime() - sent) / 1_000_000;
        // One second is reserved for an event loop stall. Counted from the first response it would be 7 s.
        assertTrue(durationMillis < 6_000, "after " + durationMillis + " ms");
    }

    /**
     * A client pipelines requests and reads nothing for longer than the idle limit, so more waits in the sidecar than
     * fits into the kernel's buffers. Then it reads, possibly during shutdown: each request gets a complete response.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void clientThatReadsLateGetsAllResponses(boolean duringShutdown) throws Exception {
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
            if (duringShutdown) {
                signal("TERM");
                eventually(() -> log().contains("serve code=draining"));
                pause(1_000);
            }
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int committed = 0;
            for (int i = 0; i < 150; i++) {
                String got = message(in);
                boolean complete = got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\n" + body);
                assertTrue(
                        complete || (duringShutdown && got.startsWith("HTTP/1.1 503 ")),
                        i + ": " + got.length() + " bytes, " + got.substring(0, Math.min(100, got.length())));
                committed += complete ? 1 : 0;
            }
            assertTrue(committed > 0, "none committed");
        }
    }

    /** A client may take as long to read as the longest deadline of a transaction, and no longer. */
    @Test
    void connectionOfAClientThatNeverReadsIsClosed() throws Exception {
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

    /** Clients pipeline requests and read nothing. The memory held for them is bounded, and others are served. */
    @Test
    void clientsThatNeverReadDoNotExhaustTheMemory() throws Exception {
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

    /** A request takes longer than the idle limit in total, but never pauses for that long. */
    @ParameterizedTest
    @CsvSource({"head, false", "body, false", "head, true", "body, true"})
    void requestThatArrivesSlowlyIsServed(String part, boolean reused) throws Exception {
        endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        useLongTimeouts();
        startAndAwaitHealthy();
        TestClient client = client();
        if (reused) {
            client.exchange(transaction("quote", "before", 9_000));
            // Most of the idle limit has passed when the next request begins.
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
     * A request that takes longer than the longest deadline of a transaction is aborted, however steadily it arrives. A
     * request that stops arriving is aborted earlier.
     */
    @ParameterizedTest
    @CsvSource({"head, ''", "body, 408"})
    void requestThatArrivesTooSlowlyIsAborted(String part, String status) throws Exception {
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
        Thread slowWriter = new Thread(() -> {
            try {
                for (int i = 0; i < 100; i++) {
                    pause(100);
                    client.write(part.equals("head") ? "x" : text.substring(from + i, from + i + 1));
                }
            } catch (IOException e) {
                // The sidecar closed the connection, as expected.
            }
        });
        slowWriter.start();
        String got;
        try {
            got = client.read();
        } catch (IOException e) {
            // An incomplete head gets no response, and the client's further writes meet a closed connection.
            got = "";
        }
        long durationMillis = (System.nanoTime() - start) / 1_000_000;
        assertEquals(status, got.isEmpty() ? "" : got.substring(9, 12));
        assertTrue(durationMillis > 3_000 && durationMillis < 6_000, "after " + durationMillis + " ms");
        slowWriter.join();
    }

    /**
     * During a connection flood each connection is closed after its response. The next request waits to be read in the
     * turn in which the response is written, and the client has not read any of it. The client gets the complete
     * response. The next request gets one as well if it was read before, else it is not forwarded.
     */
    @Test
    void responseIsCompleteIfUnreadInputIsPendingAtTheClose() throws Exception {
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
            client().exchange(transaction("quote", "flood" + i, 9_000));
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
                socket.getOutputStream().write(bytes(transaction("quote", "next" + i, 9_000)));
                pause(50);
                signal("CONT");
                pause(50);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String got = message(in);
                assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\n" + body), i + ": " + got.length());
                String next = message(in);
                assertEquals(!next.isEmpty(), endpoint.received("next" + i));
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
     * The response is sent after the request head. The client reads it only after it has sent a part of the body
     * slowly, and its connection is not closed meanwhile.
     */
    @Test
    void slowlySentOversizedBodyIsRejectedWithAResponse() throws Exception {
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

    /** A malformed request is rejected at once. The rest of it, still being sent, must not cut off the response. */
    @ParameterizedTest
    @ValueSource(strings = {"two lengths", "no length", "long head"})
    void malformedRequestGetsACompleteResponseWhileTheRestIsSent(String fault) throws Exception {
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

    /** A flood of silent connections holds all descriptors. The next client gets a response before its deadline. */
    @ParameterizedTest
    @CsvSource({"60, false", "60, true", "150, false"})
    void silentConnectionsAreEvictedForClientsThatSend(int silent, boolean afterAStall) throws Exception {
        sockets = 64;
        endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        if (afterAStall) {
            signal("STOP");
            pause(3_000);
            signal("CONT");
            pause(300);
        }
        for (int i = 0; i < silent; i++) {
            client();
        }
        TestClient next = client();
        Stopwatch watch = new Stopwatch();
        String got = next.exchange(transaction("post-charge", "t", 2_900));
        assertTrue(got.startsWith("HTTP/1.1 200 "), "after " + watch.milliseconds() + " ms: " + got);
        assertTrue(watch.milliseconds() < 2_900, "after " + watch.milliseconds() + " ms");
    }

    /**
     * Clients that are sending their bodies hold all descriptors for two seconds, or a flood of silent connections
     * arrives while the process is suspended. The next client waits to be accepted meanwhile.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void forwardedDeadlineExcludesTheWaitForADescriptor(boolean suspended) throws Exception {
        sockets = 64;
        long[] receivedAt = {0};
        StubEndpoint endpoint = endpoint(r -> {
            receivedAt[0] = System.nanoTime();
            return response(200, "", "good");
        });
        startAndAwaitHealthy();
        if (suspended) {
            signal("STOP");
        }
        for (int i = 0; i < 30; i++) {
            client().write(
                            suspended
                                    ? ""
                                    : "POST /post-charge HTTP/1.1\r\nHost: h\r\nX-Trace-Id: b" + i
                                            + "\r\nContent-Length: 9\r\n\r\nb");
        }
        TestClient next = client();
        long sent = System.nanoTime();
        next.write(transaction("post-charge", "t", 2_900));
        if (suspended) {
            pause(1_500);
            signal("CONT");
        }
        String got = next.read();
        if (got.startsWith("HTTP/1.1 200 ")) {
            long forwarded = HeaderRules.timeoutTicks(header(endpoint.requests.get(0), "X-Expires-In")) / 10;
            long left = 2_900 - (receivedAt[0] - sent) / 1_000_000;
            assertTrue(forwarded <= left + 150, "forwarded " + forwarded + " ms with " + left + " ms left");
        } else {
            assertTrue(got.startsWith("HTTP/1.1 503 "), got);
        }
        assertTrue(System.nanoTime() - sent < 2_900_000_000L, "response after the deadline");
    }
}
