package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.inbound.HeaderRules;
import trestlegrade.lab.soak.SystemCallShim;
import trestlegrade.lab.soak.SystemCallShim.Errno;
import trestlegrade.lab.soak.SystemCallShim.Field;

/** System calls of the process fail as their manual pages document. Each request still gets its response in time. */
class SystemCallsIT extends SidecarFixture {
    private final StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
    private SystemCallShim shim;

    @BeforeEach
    void startWithShim() throws Exception {
        shim = new SystemCallShim(SystemCallShim.compile(dir), dir.resolve("shim-control"), 20261202);
        environment.putAll(shim.environment());
        startAndAwaitHealthy();
    }

    /** Clients that wait in the listener's backlog while accept fails are accepted as soon as it succeeds again. */
    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void clientsAreAcceptedOnceAcceptSucceedsAgain(Errno errno) throws Exception {
        shim.fail(Field.ACCEPT_ERRNO, Field.ACCEPT_RATE, errno, SystemCallShim.ALL_CALLS);
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            clients.add(client());
            clients.get(i).write(transaction("quote", "t" + i, 1_400));
        }
        pause(400);
        shim.set(Field.ACCEPT_RATE, 0);
        Stopwatch watch = new Stopwatch();
        for (TestClient client : clients) {
            assertTrue(client.read().startsWith("HTTP/1.1 200 "));
        }
        assertTrue(watch.milliseconds() < 300, "all responses after " + watch.milliseconds() + " ms");
        long tries = shim.get(Field.ACCEPT_DONE);
        // After ECONNABORTED (the client has disconnected) the runtime itself retries immediately.
        assertTrue(errno == Errno.ECONNABORTED || (tries > 3 && tries < 100), tries + " tries in 0.4 s");
    }

    /**
     * No socket is available for an attempt. Requests are rejected immediately and served again as soon as a socket is
     * available, and the count of pooled connections stays correct.
     */
    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void requestsAreRejectedWhileAttemptsGetNoSocket(Errno errno) throws Exception {
        assertRejectedAtOnceAndServedAgain(Field.SOCKET_ERRNO, Field.SOCKET_RATE, Field.SOCKET_DONE, errno);
    }

    @ParameterizedTest
    @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS"})
    void requestsAreRejectedWhileConnectFails(Errno errno) throws Exception {
        assertRejectedAtOnceAndServedAgain(Field.CONNECT_ERRNO, Field.CONNECT_RATE, Field.CONNECT_DONE, errno);
    }

    private void assertRejectedAtOnceAndServedAgain(Field errnoField, Field rate, Field done, Errno errno)
            throws Exception {
        TestClient client = client();
        shim.fail(errnoField, rate, errno, SystemCallShim.ALL_CALLS);
        for (String profile : List.of("quote", "post-charge")) {
            Stopwatch watch = new Stopwatch();
            assertTrue(client.exchange(transaction(profile, profile + errno, 1_400))
                    .startsWith("HTTP/1.1 503 "));
            assertTrue(watch.milliseconds() < 700, "rejected after " + watch.milliseconds() + " ms");
        }
        assertTrue(shim.get(done) > 0);
        shim.set(rate, 0);
        eventually(() -> client.exchangeUnchecked(transaction("quote", "u" + System.nanoTime(), 1_400))
                .startsWith("HTTP/1.1 200 "));
        assertEquals(1, counters().getJsonObject("now").getLong("pooled"));
    }

    /** No socket is available for the listener, which retries until it gets one. */
    @Test
    void listenerIsOpenedOnceASocketIsAvailable() throws Exception {
        process.destroyForcibly().waitFor();
        shim.fail(Field.SOCKET_ERRNO, Field.SOCKET_RATE, Errno.ENFILE, SystemCallShim.ALL_CALLS);
        start();
        eventually(() -> log().contains("serve code=listen-again"));
        shim.set(Field.SOCKET_RATE, 0);
        within(10_000, () -> health() == 200);
    }

    /** Each read and write transfers one byte, and one call in four is interrupted. */
    @Test
    void servesThroughShortAndInterruptedReadsAndWrites() throws Exception {
        shim.set(Field.SHORT_RATE, SystemCallShim.ALL_CALLS);
        shim.set(Field.INTERRUPT_RATE, SystemCallShim.ALL_CALLS / 4);
        TestClient client = client();
        for (int i = 0; i < 10; i++) {
            String got = client.exchange(transaction(i % 2 == 0 ? "quote" : "post-charge", "t" + i, 1_400));
            assertTrue(
                    got.startsWith("HTTP/1.1 200 ") && got.endsWith("good"),
                    got + counters().encode());
        }
        assertEquals(
                10,
                endpoint.requests.stream()
                        .filter(r -> r.contains("X-Trace-Id: t"))
                        .count());
        assertTrue(shim.get(Field.INTERRUPT_DONE) > 100 && shim.get(Field.SHORT_DONE) > 1_000);
    }

    /** The kernel ends open connections, in use or idle, of endpoints and of clients. */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void servesAgainAfterOpenConnectionsBreak(Errno errno) throws Exception {
        Gate gate = new Gate();
        endpoint.responder = r -> {
            gate.awaitOpen();
            return response(200, "", "good");
        };
        TestClient client = client();
        client.write(transaction("post-charge", "t", 2_900));
        eventually(() -> endpoint.received("t"));
        eventually(() -> counters().getLong("attempts_sent") == 1);
        pause(100);
        shim.fail(Field.TRANSFER_ERRNO, Field.TRANSFER_RATE, errno, SystemCallShim.NEXT_CALL);
        gate.open();
        String got = client.read();
        assertTrue(got.startsWith("HTTP/1.1 502 "), got);
        assertEquals(
                1,
                endpoint.requests.stream()
                        .filter(r -> "t".equals(header(r, "X-Trace-Id")))
                        .count());
        TestClient next = client();
        eventually(() -> next.exchangeUnchecked(transaction("quote", "u" + System.nanoTime(), 1_400))
                .startsWith("HTTP/1.1 200 "));
        eventually(() -> counters().getJsonObject("now").getLong("transactions") == 0);
    }

    /**
     * The sidecar is delayed before each write. The timeout that it sends to an endpoint must still be at most the
     * client's remaining time, with a tolerance of 0.15 s.
     */
    @Test
    void forwardedTimeoutIsRightIfWritesAreDelayed() throws Exception {
        shim.set(Field.HOLD_MICROSECONDS, 150_000);
        shim.set(Field.HOLD_RATE, SystemCallShim.ALL_CALLS);
        TestClient client = client();
        long[] receivedAt = {0};
        endpoint.responder = r -> {
            receivedAt[0] = System.nanoTime();
            return response(200, "", "good");
        };
        for (int i = 0; i < 5; i++) {
            String trace = "t" + i;
            long sentAt = System.nanoTime();
            String got = client.exchange(transaction("quote", trace, 1_400));
            assertTrue(got.startsWith("HTTP/1.1 "), got);
            String request = endpoint.requests.get(endpoint.requests.size() - 1);
            assertEquals(trace, header(request, "X-Trace-Id"));
            long forwardedMillis = HeaderRules.timeoutTicks(header(request, "X-Expires-In")) / 10;
            long remainingMillis = 1_400 - (receivedAt[0] - sentAt) / 1_000_000;
            assertTrue(
                    forwardedMillis <= remainingMillis + 150,
                    "forwarded timeout of " + forwardedMillis + " ms with " + remainingMillis + " ms left");
        }
    }

    /**
     * Deadlines, waits and drain graces are measured in real time. A step of the wall clock changes only the timestamps
     * of the log.
     */
    @ParameterizedTest
    @ValueSource(longs = {-3_600, -5, 5, 3_600})
    void wallClockStepsDoNotChangeTimeouts(long seconds) throws Exception {
        TestClient client = client();
        endpoint.responder = r -> HANG;
        client.write(transaction("quote", "t", 1_400));
        eventually(() -> endpoint.received("t"));
        Stopwatch watch = new Stopwatch();
        shim.set(Field.WALL_CLOCK_MICROSECONDS, seconds * 1_000_000);
        assertTrue(client.read().startsWith("HTTP/1.1 503 "));
        assertTrue(watch.milliseconds() > 500 && watch.milliseconds() < 1_450, "after " + watch.milliseconds() + " ms");
        endpoint.responder = r -> response(200, "", "good");
        eventually(() -> client.exchangeUnchecked(transaction("quote", "u" + System.nanoTime(), 1_400))
                .startsWith("HTTP/1.1 200 "));
        eventually(() -> !discovery.requests.isEmpty());
        discovery.writeLine(listLine(8, false, entry(0, "leaving")));
        eventually(() -> counters().getLong("list_lines") == 1);
        int before = endpoint.requests.size();
        assertTrue(client.exchange(transaction("quote", "v", 300)).startsWith("HTTP/1.1 503 "));
        assertEquals(before, endpoint.requests.size());
        discovery.writeLine(listLine(9, false, entry(0, "active")));
        eventually(() -> client.exchangeUnchecked(transaction("quote", "w" + System.nanoTime(), 1_400))
                .startsWith("HTTP/1.1 200 "));
        assertEquals(1, discovery.requests.size(), "the watch was reopened");
    }
}
