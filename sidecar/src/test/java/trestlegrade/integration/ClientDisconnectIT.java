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
 * A client disconnects while its transaction waits. Wherever a transaction can wait, nothing is sent for it afterwards,
 * whether or not the settings allow attempts to be cancelled. In each test the sidecar detects the disconnect before
 * the wait ends.
 */
class ClientDisconnectIT extends SidecarFixture {

    private void configure(boolean cancelling) {
        settings().getJsonObject("ceilings").put("cancelling", cancelling).put("dial_timeout", 8_000);
        useLongTimeouts();
    }

    private void awaitDisconnectDetected() {
        eventually(() -> counters().getLong("clients_left", 0L) == 1);
    }

    /** Completes a transaction of another client. Anything still to be sent for earlier ones is sent by then. */
    private void completeOtherTransaction() throws Exception {
        assertTrue(client().exchange(transaction("quote", "other", 9_000)).startsWith("HTTP/1.1 200 "));
    }

    /** The endpoint's accept queue is full, so connections to it are established only once the test drains it. */
    @ParameterizedTest
    @CsvSource({"true, quote", "false, quote", "true, post-charge", "false, post-charge"})
    void nothingIsSentIfTheClientDisconnectsDuringTheConnect(boolean cancelling, String profile) throws Exception {
        configure(cancelling);
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
            awaitDisconnectDetected();
            for (Socket each : queue) {
                each.close();
                full.accept().close();
            }
            // The kernel retries the connect after one, three or seven seconds.
            Socket established = full.accept();
            established.setSoTimeout(1_000);
            int first;
            try {
                first = established.getInputStream().read();
            } catch (java.net.SocketTimeoutException e) {
                first = -1;
            }
            assertEquals(-1, first, "sent for a client that had disconnected");
            established.close();
        }
        assertEquals(0, counters().getLong("attempts_sent"));
    }

    /** No endpoint is eligible for the transaction until the list adds one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nothingIsSentIfTheClientDisconnectsBeforeAnEndpointIsListed(boolean cancelling) throws Exception {
        configure(cancelling);
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        initialEndpoints = new JsonArray().add(entry(0, "leaving"));
        start();
        within(10_000, () -> health() == 503);
        eventually(() -> !discovery.requests.isEmpty());
        TestClient client = client();
        client.write(transaction("quote", "t", 30_000));
        eventually(() -> counters().getLong("accepted", 0L) == 1);
        client.close();
        awaitDisconnectDetected();
        discovery.writeLine(listLine(8, false, entry(0, "active")));
        eventually(() -> health() == 200);
        completeOtherTransaction();
        assertEquals(1, endpoint.requests.size());
    }

    /** The first attempt ends, rejected or with its connection, after the client has disconnected. */
    @ParameterizedTest
    @CsvSource({"true, rejected", "false, rejected", "true, closed", "false, closed"})
    void attemptIsNotRetriedAfterADisconnect(boolean cancelling, String outcome) throws Exception {
        configure(cancelling);
        Gate gate = new Gate();
        Function<String, String> responder = r -> {
            if (!"t".equals(header(r, "X-Trace-Id"))) {
                return response(200, "", "good");
            }
            gate.awaitOpen();
            return outcome.equals("closed") ? CLOSE : response(503, "X-Never-Ran: 1\r\n", "");
        };
        StubEndpoint first = endpoint(responder);
        StubEndpoint second = endpoint(responder);
        startAndAwaitHealthy();
        TestClient client = client();
        client.write(transaction("quote", "t", 30_000));
        eventually(() -> first.received("t") || second.received("t"));
        client.close();
        awaitDisconnectDetected();
        gate.open();
        eventually(() -> counters().getJsonObject("attempts_ended").size() > 0);
        completeOtherTransaction();
        assertEquals(2, first.requests.size() + second.requests.size());
    }

    /** A disconnect in the middle of a request head counts as a disconnect, not as a malformed request. */
    @Test
    void disconnectDuringARequestHeadIsNotMalformed() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        TestClient client = client();
        client.write("GET /quote HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Exp");
        client.close();
        eventually(() -> counters().getJsonObject("connections_ended").getLong("client:client-left", 0L) == 1);
        assertEquals(0, counters().getJsonObject("rejected").size());
        assertEquals(0, endpoint.requests.size());
    }

    /** Clients send and disconnect while the process is suspended, so both wait for the same event loop turn. */
    @ParameterizedTest
    @CsvSource({"true, false", "false, false", "true, true", "false, true"})
    void requestReadTogetherWithTheDisconnectIsNotForwarded(boolean cancelling, boolean reset) throws Exception {
        configure(cancelling);
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        completeOtherTransaction();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
        }
        // All connections are accepted before the stop, so that each is checked by itself.
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
        completeOtherTransaction();
        assertEquals(
                before + 1,
                endpoint.requests.size(),
                () -> endpoint.requests.stream()
                        .map(r -> header(r, "X-Trace-Id"))
                        .toList()
                        .toString());
    }

    /**
     * Silent clients hold all descriptors and then disconnect all at once. Others connect behind them, send a request
     * and disconnect while they are in the listener's backlog.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestOfAClientThatDisconnectsInTheBacklogIsNotForwarded(boolean cancelling) throws Exception {
        configure(cancelling);
        sockets = 64;
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        completeOtherTransaction();
        for (int round = 0; round < 3; round++) {
            String trace = "t" + round;
            List<TestClient> silent = new ArrayList<>();
            for (int i = 0; i < DescriptorBudget.forClients(sockets).limit(); i++) {
                silent.add(client());
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
            for (TestClient each : silent) {
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

    /** Requests are pipelined on one connection: the first has been forwarded, the others wait behind it. */
    @ParameterizedTest
    @CsvSource({"true, 3", "false, 3", "true, 400", "false, 400"})
    void pipelinedRequestsAreNotForwardedAfterADisconnect(boolean cancelling, int pipelined) throws Exception {
        configure(cancelling);
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
        for (int i = 0; i < pipelined; i++) {
            all.append(transaction("quote", "t" + i, 30_000));
        }
        client.write(all.toString());
        eventually(() -> endpoint.received("t0"));
        client.close();
        awaitDisconnectDetected();
        gate.open();
        eventually(
                () -> cancelling || counters().getJsonObject("attempts_ended").size() > 0);
        completeOtherTransaction();
        assertEquals(2, endpoint.requests.size());
        assertEquals(2, counters().getLong("accepted"));
    }

    /** Pipelined requests of a client that stays connected get their responses in order. */
    @Test
    void pipelinedRequestsAreServedInOrder() throws Exception {
        configure(true);
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

    /**
     * Beyond the pipelining limit of a connection it is closed after a response. Requests without a response have not
     * been forwarded.
     */
    @Test
    void connectionIsClosedBeyondThePipeliningLimit() throws Exception {
        configure(true);
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
        assertTrue(client().exchange(transaction("quote", "other", 9_000)).startsWith("HTTP/1.1 200 "));
        gate.open();
        int responses = 0;
        int committed = 0;
        for (String got = client.read(); !got.isEmpty(); got = client.read()) {
            assertTrue(got.endsWith("\r\n\r\nt" + responses++) || got.startsWith("HTTP/1.1 503 "), got);
            committed += got.startsWith("HTTP/1.1 200 ") ? 1 : 0;
        }
        assertTrue(responses > 100 && responses < 500 && committed > 100, responses + " responses");
        assertEquals(committed + 1, endpoint.requests.size());
        // The sidecar closes its side only once no more of the client's input arrives.
        eventually(() -> counters().getJsonObject("connections_ended").getLong("client:too-far-ahead", 0L) == 1);
    }
}
