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

/** The system calls of the process fail as their manual pages say: each request has its answer in time all the same. */
class SystemCallsIT extends SidecarFixture {
    private final StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
    private SystemCallShim shim;

    @BeforeEach
    void preload() throws Exception {
        shim = new SystemCallShim(SystemCallShim.compile(dir), dir.resolve("shim-control"), 20261202);
        environment.putAll(shim.environment());
        startAndAwaitHealthy();
    }

    /** Clients whose connections wait in the listener's queue meanwhile are let in as soon as that is possible. */
    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void acceptFailsForAWhile(Errno errno) throws Exception {
        shim.fail(Field.ACCEPT_ERRNO, Field.ACCEPT_RATE, errno, SystemCallShim.ALL_CALLS);
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            clients.add(client());
            clients.get(i).write(transaction("quote", "t" + i, 1_400));
        }
        pause(400);
        shim.set(Field.ACCEPT_RATE, 0);
        Stopwatch watch = new Stopwatch();
        for (TestClient each : clients) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
        assertTrue(watch.milliseconds() < 300, "answered after " + watch.milliseconds() + " ms");
        long tries = shim.get(Field.ACCEPT_DONE);
        // The runtime itself tries again at once where a client has gone meanwhile.
        assertTrue(errno == Errno.ECONNABORTED || (tries > 3 && tries < 100), tries + " tries in 0.4 s");
    }

    /** No socket can be had for an attempt: refused at once, served again as soon as one can, and none is forgotten. */
    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void noSocketForAnAttempt(Errno errno) throws Exception {
        answeredAtOnceAndServedAgain(Field.SOCKET_ERRNO, Field.SOCKET_RATE, Field.SOCKET_DONE, errno);
    }

    @ParameterizedTest
    @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS"})
    void connectFails(Errno errno) throws Exception {
        answeredAtOnceAndServedAgain(Field.CONNECT_ERRNO, Field.CONNECT_RATE, Field.CONNECT_DONE, errno);
    }

    private void answeredAtOnceAndServedAgain(Field number, Field rate, Field done, Errno errno) throws Exception {
        TestClient client = client();
        shim.fail(number, rate, errno, SystemCallShim.ALL_CALLS);
        for (String profile : List.of("quote", "post-charge")) {
            Stopwatch watch = new Stopwatch();
            assertTrue(client.exchange(transaction(profile, profile + errno, 1_400)).startsWith("HTTP/1.1 503 "));
            assertTrue(watch.milliseconds() < 700, "refused after " + watch.milliseconds() + " ms");
        }
        assertTrue(shim.get(done) > 0);
        shim.set(rate, 0);
        eventually(() -> client.exchangeUnchecked(transaction("quote", "u" + System.nanoTime(), 1_400))
                .startsWith("HTTP/1.1 200 "));
        assertEquals(1, counters().getJsonObject("now").getLong("pooled"));
    }

    /** The listener itself has to wait for a socket. */
    @Test
    void noSocketToListenOnForAWhile() throws Exception {
        process.destroyForcibly().waitFor();
        shim.fail(Field.SOCKET_ERRNO, Field.SOCKET_RATE, Errno.ENFILE, SystemCallShim.ALL_CALLS);
        start();
        eventually(() -> log().contains("serve code=listen-again"));
        shim.set(Field.SOCKET_RATE, 0);
        within(10_000, () -> health() == 200);
    }

    /** Every read and write moves one byte, and one call in four is interrupted. */
    @Test
    void shortAndInterruptedReadsAndWrites() throws Exception {
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
                endpoint.requests.stream().filter(r -> r.contains("X-Trace-Id: t")).count());
        assertTrue(shim.get(Field.INTERRUPT_DONE) > 100 && shim.get(Field.SHORT_DONE) > 1_000);
    }

    /** The system gives up connections that are open: in use or idle, the endpoint's and the client's. */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void openConnectionsBreak(Errno errno) throws Exception {
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
        eventually(() ->
                next.exchangeUnchecked(transaction("quote", "u" + System.nanoTime(), 1_400))
                        .startsWith("HTTP/1.1 200 "));
        eventually(() -> counters().getJsonObject("now").getLong("transactions") == 0);
    }

    /** Written late, what an endpoint is told is still no more than what the client has left, with 0.15 s of slack. */
    @Test
    void heldUpBeforeEachWrite() throws Exception {
        shim.set(Field.HOLD_MICROSECONDS, 150_000);
        shim.set(Field.HOLD_RATE, SystemCallShim.ALL_CALLS);
        TestClient client = client();
        long[] seenAt = {0};
        endpoint.responder = r -> {
            seenAt[0] = System.nanoTime();
            return response(200, "", "good");
        };
        for (int i = 0; i < 5; i++) {
            String trace = "t" + i;
            long asked = System.nanoTime();
            String got = client.exchange(transaction("quote", trace, 1_400));
            assertTrue(got.startsWith("HTTP/1.1 "), got);
            String request = endpoint.requests.get(endpoint.requests.size() - 1);
            assertEquals(trace, header(request, "X-Trace-Id"));
            long told = HeaderRules.timeoutTicks(header(request, "X-Expires-In")) / 10;
            long left = 1_400 - (seenAt[0] - asked) / 1_000_000;
            assertTrue(told <= left + 150, "told " + told + " ms with " + left + " ms left");
        }
    }

    /** Deadlines, waits and graces are real time: of a step of the wall clock only the log's stamps tell. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600, -5, 5, 3_600})
    void theWallClockSteps(long seconds) throws Exception {
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
        assertEquals(1, discovery.requests.size(), "the watch was opened anew");
    }
}
