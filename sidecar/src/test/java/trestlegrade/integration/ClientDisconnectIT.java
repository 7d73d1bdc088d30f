package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.CLOSE;

import io.vertx.core.json.JsonArray;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.inbound.DescriptorBudget;

/**
 * A client leaves while its transaction waits: in each place where one can wait nothing is written for it from then on,
 * whether the settings allow to call attempts off or not. The client's end is known before the wait ends, in each test.
 */
class ClientDisconnectIT extends SidecarFixture {

    private void terms(boolean cancelling) {
        settings().getJsonObject("ceilings").put("cancelling", cancelling).put("dial_timeout", 8_000);
        useLongTimeouts();
    }

    private void leftIsKnown() {
        eventually(() -> counters().getLong("clients_left", 0L) == 1);
    }

    /** Whatever was to be written for the others would have been by then. */
    private void another() throws Exception {
        assertTrue(client().exchange(transaction("quote", "another", 9_000)).startsWith("HTTP/1.1 200 "));
    }

    /** The endpoint's queue is full, so connections to it come up only once the test has made room. */
    @ParameterizedTest
    @CsvSource({"true, quote", "false, quote", "true, post-charge", "false, post-charge"})
    void whileItsAttemptConnects(boolean cancelling, String profile) throws Exception {
        terms(cancelling);
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> queue = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                queue.add(new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort()));
            }
            endpoint(r -> response(200, "", "good")).close();
            initialEndpoints =
                    new JsonArray().add(entry(0, "active").put("address", "127.0.0.1:" + full.getLocalPort()));
            startAndAwaitHealthy();
            TestClient client = client();
            client.write(transaction(profile, "t", 30_000));
            eventually(() -> counters().getLong("connects", 0L) == 1);
            client.close();
            leftIsKnown();
            for (Socket each : queue) {
                each.close();
                full.accept().close();
            }
            // The kernel asks anew after one, three or seven seconds.
            Socket up = full.accept();
            up.setSoTimeout(1_000);
            int first;
            try {
                first = up.getInputStream().read();
            } catch (java.net.SocketTimeoutException e) {
                first = -1;
            }
            assertEquals(-1, first, "written for a client that had left");
            up.close();
        }
        assertEquals(0, counters().getLong("attempts_sent"));
    }

    /** No endpoint may take it until the list brings one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileThereIsNoEndpointForIt(boolean cancelling) throws Exception {
        terms(cancelling);
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        initialEndpoints = new JsonArray().add(entry(0, "leaving"));
        start();
        within(10_000, () -> health() == 503);
        eventually(() -> !discovery.requests.isEmpty());
        TestClient client = client();
        client.write(transaction("quote", "t", 30_000));
        eventually(() -> counters().getLong("accepted", 0L) == 1);
        client.close();
        leftIsKnown();
        discovery.writeLine(listLine(8, false, entry(0, "active")));
        eventually(() -> health() == 200);
        another();
        assertEquals(1, endpoint.requests.size());
    }

    /** The attempt before ends once the client has left. */
    @ParameterizedTest
    @CsvSource({"true, turned-away", "false, turned-away", "true, breaks", "false, breaks"})
    void whileItsAttemptIsOutThatWouldBeRepeated(boolean cancelling, String end) throws Exception {
        terms(cancelling);
        Gate gate = new Gate();
        Function<String, String> answers = r -> {
            if (!"t".equals(header(r, "X-Trace-Id"))) {
                return response(200, "", "good");
            }
            gate.awaitOpen();
            return end.equals("breaks") ? CLOSE : response(503, "X-Never-Ran: 1\r\n", "");
        };
        StubEndpoint first = endpoint(answers);
        StubEndpoint second = endpoint(answers);
        startAndAwaitHealthy();
        TestClient client = client();
        client.write(transaction("quote", "t", 30_000));
        eventually(() -> first.received("t") || second.received("t"));
        client.close();
        leftIsKnown();
        gate.open();
        eventually(() -> counters().getJsonObject("attempts_ended").size() > 0);
        another();
        assertEquals(2, first.requests.size() + second.requests.size());
    }

    /** Half a head, and gone: it left, and did not send what cannot be read. */
    @Test
    void inTheMidstOfItsHead() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        TestClient client = client();
        client.write("GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Exp");
        client.close();
        eventually(() -> counters().getJsonObject("connections_ended").getLong("client:client-left", 0L) == 1);
        assertEquals(0, counters().getJsonObject("rejected").size());
        assertEquals(0, endpoint.requests.size());
    }

    /** The process stands still while the client sends, and goes; both wait for the same turn of the loop. */
    @ParameterizedTest
    @CsvSource({"true, false", "false, false", "true, true", "false, true"})
    void beforeItIsRead(boolean cancelling, boolean reset) throws Exception {
        terms(cancelling);
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        another();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
        }
        // Accepted, so that each connection is looked at on its own.
        clients.forEach(each -> each.exchangeUnchecked(transaction("quote", "warm" + clients.indexOf(each), 9_000)));
        int before = endpoint.requests.size();
        signal("STOP");
        eventually(this::allThreadsStopped);
        for (TestClient each : clients) {
            each.write(transaction("quote", "t" + clients.indexOf(each), 30_000));
            each.disconnect(reset);
        }
        pause(400);
        signal("CONT");
        eventually(() -> counters().getJsonObject("connections_ended").stream()
                        .filter(e -> e.getKey().startsWith("client:client-"))
                        .mapToLong(e -> (Integer) e.getValue())
                        .sum()
                >= 20);
        another();
        assertEquals(
                before + 1,
                endpoint.requests.size(),
                () -> endpoint.requests.stream()
                        .map(r -> header(r, "X-Trace-Id"))
                        .toList()
                        .toString());
    }

    /**
     * All descriptors are held by clients that say nothing and then go all at once; others come, send and go behind.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void inTheListenersQueue(boolean cancelling) throws Exception {
        terms(cancelling);
        sockets = 64;
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        another();
        for (int round = 0; round < 3; round++) {
            String trace = "t" + round;
            List<TestClient> holding = new ArrayList<>();
            for (int i = 0; i < DescriptorBudget.forClients(sockets).limit(); i++) {
                holding.add(client());
            }
            List<TestClient> queue = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                queue.add(client());
                queue.get(i).write(transaction("quote", trace + "-" + i, 30_000));
            }
            for (int i = 2; i < 12; i++) {
                queue.get(i).disconnect(i % 2 == 0);
            }
            pause(350);
            for (TestClient each : holding) {
                each.close();
            }
            for (TestClient each : queue.subList(0, 2)) {
                assertTrue(each.read().startsWith("HTTP/1.1 "));
                each.close();
            }
            eventually(() -> health() == 200);
            assertEquals(
                    List.of(),
                    endpoint.requests.stream()
                            .map(r -> header(r, "X-Trace-Id"))
                            .filter(t -> t.matches(trace + "-([2-9]|1\\d)"))
                            .toList());
        }
    }

    /** Sent ahead on one connection: the first is out, the others wait behind it. */
    @ParameterizedTest
    @CsvSource({"true, 3", "false, 3", "true, 400", "false, 400"})
    void behindAnotherOnItsConnection(boolean cancelling, int ahead) throws Exception {
        terms(cancelling);
        Gate gate = new Gate();
        StubEndpoint endpoint = endpoint(r -> {
            if ("t0".equals(header(r, "X-Trace-Id"))) {
                gate.awaitOpen();
            }
            return response(200, "", "good");
        });
        startAndAwaitHealthy();
        TestClient client = client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < ahead; i++) {
            all.append(transaction("quote", "t" + i, 30_000));
        }
        client.write(all.toString());
        eventually(() -> endpoint.received("t0"));
        client.close();
        leftIsKnown();
        gate.open();
        eventually(
                () -> cancelling || counters().getJsonObject("attempts_ended").size() > 0);
        another();
        assertEquals(2, endpoint.requests.size());
        assertEquals(2, counters().getLong("accepted"));
    }

    /** What is sent ahead by a client that stays is answered, in order. */
    @Test
    void thoseSentAheadByOneThatStaysAreServedInOrder() throws Exception {
        terms(true);
        StubEndpoint endpoint = endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        startAndAwaitHealthy();
        TestClient client = client();
        for (int round = 0; round < 5; round++) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 30; i++) {
                all.append(transaction(i % 3 == 0 ? "post-charge" : "quote", "t" + round + "-" + i, 9_000));
            }
            client.write(all.toString());
            for (int i = 0; i < 30; i++) {
                String got = client.read();
                assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\nt" + round + "-" + i), got);
            }
        }
        assertEquals(150, endpoint.requests.size());
    }

    /** Beyond what is held for one connection it ends with an answer; what was not answered was not begun. */
    @Test
    void oneThatSendsFarTooMuchAheadIsAnsweredForAWhile() throws Exception {
        terms(true);
        Gate gate = new Gate();
        StubEndpoint endpoint = endpoint(r -> {
            if ("t0".equals(header(r, "X-Trace-Id"))) {
                gate.awaitOpen();
            }
            return response(200, "", header(r, "X-Trace-Id"));
        });
        startAndAwaitHealthy();
        TestClient client = client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 1_000; i++) {
            all.append(transaction("quote", "t" + i, 30_000));
        }
        client.write(all.toString());
        eventually(() -> endpoint.received("t0"));
        assertTrue(client().exchange(transaction("quote", "another", 9_000)).startsWith("HTTP/1.1 200 "));
        gate.open();
        int answered = 0;
        int committed = 0;
        for (String got = client.read(); !got.isEmpty(); got = client.read()) {
            assertTrue(got.endsWith("\r\n\r\nt" + answered++) || got.startsWith("HTTP/1.1 503 "), got);
            committed += got.startsWith("HTTP/1.1 200 ") ? 1 : 0;
        }
        assertTrue(answered > 100 && answered < 500 && committed > 100, answered + " answered");
        assertEquals(committed + 1, endpoint.requests.size());
        // This side closes only once nothing more comes of what the client had sent.
        eventually(() -> counters().getJsonObject("connections_ended").getLong("client:too-far-ahead", 0L) == 1);
    }
}
