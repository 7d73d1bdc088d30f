package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.outbound.AttemptSender;

/** An endpoint sends data on a pooled connection, or ends it, while the next attempt may be about to use it. */
class PooledConnectionsIT extends SidecarFixture {

    /**
     * An endpoint writes a duplicate response some milliseconds after the first, when the next transaction may already
     * have been sent. The duplicate must not be forwarded as the response to that transaction.
     */
    @ParameterizedTest
    @ValueSource(strings = {"quote", "post-charge"})
    void lateDuplicateResponseIsNotForwarded(String profile) throws Exception {
        // The response to the next attempt arrives later than the duplicate.
        StubEndpoint endpoint = endpointRespondingTwice(12, 8);
        startAndAwaitHealthy();
        TestClient client = client();
        for (int i = 0; i < 60; i++) {
            String got = client.exchange(transaction(profile, "t" + i, 900));
            String responseTrace = got.substring(got.indexOf("\r\n\r\n") + 4);
            assertTrue(
                    got.startsWith("HTTP/1.1 200 ") && responseTrace.equals("t" + i),
                    () -> got + ", written " + endpoint.duplicateDelayNanos.getOrDefault(responseTrace, 0L) / 1_000_000
                            + " ms after the first response");
            // By the end of this pause the connection has been read again, and the duplicate has not arrived yet.
            pause(4);
        }
        assertTrue(
                counters().getJsonObject("connections_ended").getLong("pooled:excess") > 10,
                () -> counters().encode());
    }

    /**
     * The kernel of an endpoint without TCP_NODELAY delays the duplicate response until the first is acknowledged. If
     * both sides of a connection send in turn, the sidecar's kernel delays the acknowledgement for 40 ms or until it
     * sends data.
     */
    @ParameterizedTest
    @ValueSource(strings = {"quote", "post-charge"})
    void duplicateResponseDelayedByTheKernelIsNotForwarded(String profile) throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        useLongTimeouts();
        startAndAwaitHealthy();
        TestClient client = client();
        // In some rounds no duplicate is written, because the machine itself is late.
        for (int round = 0; endpoint.duplicateDelayNanos.size() < 6; round++) {
            for (int i = 0; i < 5; i++) {
                client.exchange(transaction(profile, "warm" + round + "-" + i, 30_000));
                pause(36);
            }
            endpoint.duplicateAfterMillis = 8;
            client.exchange(transaction(profile, "t" + round, 30_000));
            // Lasts longer than the quarantine, so that the next attempt may use the connection.
            pause(36);
            endpoint.duplicateAfterMillis = 0;
            String got = client.exchange(transaction(profile, "u" + round, 30_000));
            assertTrue(got.endsWith("\r\n\r\nu" + round), got);
        }
        eventually(() -> counters().getJsonObject("connections_ended").getLong("pooled:excess", 0L) >= 6);
    }

    /**
     * A duplicate response that arrived after the quarantine was forwarded as the response to the next transaction on
     * the connection: 8 of 100 clients got the response of another client from a distant endpoint that responds twice.
     */
    @ParameterizedTest
    @ValueSource(strings = {"quote", "post-charge"})
    void duplicateResponseAfterTheQuarantineIsNotForwardedOnceADuplicateWasSeen(String profile) throws Exception {
        endpointRespondingTwice(40, 2 * AttemptSender.QUARANTINE_MILLIS);
        startAndAwaitHealthy();
        TestClient client = client();
        for (int ended = 0; ended == 0; ended = connectionsEndedByExcessBytes()) {
            client.exchange(transaction(profile, "first", 900));
            pause(3 * AttemptSender.QUARANTINE_MILLIS);
        }
        for (int i = 0; i < 20; i++) {
            String got = client.exchange(transaction(profile, "t" + i, 900));
            assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\nt" + i), got);
            // By the end of this pause the quarantine is over, and the duplicate has not arrived yet.
            pause(AttemptSender.QUARANTINE_MILLIS + 8);
        }
    }

    /** An endpoint that responds after {@code responseMillis}, and once more {@code duplicateMillis} later. */
    private StubEndpoint endpointRespondingTwice(int responseMillis, int duplicateMillis) {
        StubEndpoint endpoint = endpoint(r -> {
            pause(responseMillis);
            return response(200, "", header(r, "X-Trace-Id"));
        });
        endpoint.duplicateAfterMillis = duplicateMillis;
        return endpoint;
    }

    private int connectionsEndedByExcessBytes() {
        return counters().getJsonObject("connections_ended").getInteger("pooled:excess", 0);
    }

    /**
     * The process stalls, and then handles an event on an idle connection in the same event loop turn as a transaction
     * that could use the connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset", "half a line"})
    void transactionIsServedIfIdleConnectionsEndInTheSameTurn(String event) throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            clients.add(client());
            clients.get(i).exchange(transaction("quote", "t" + i, 900));
        }
        // Lasts longer than the quarantine, so that attempts that must not be repeated may use the connections too.
        pause(100);
        int pooled = endpoint.connectionCount.get();
        signal("STOP");
        eventually(this::allThreadsStopped);
        for (int i = 0; i < pooled; i++) {
            if (event.equals("half a line")) {
                endpoint.send(i, "HTTP/1.1 20");
            } else {
                endpoint.closeConnection(i, event.equals("reset"));
            }
        }
        for (TestClient each : clients) {
            each.write(transaction("post-charge", "u" + clients.indexOf(each), 2_900));
        }
        pause(200);
        signal("CONT");
        for (TestClient each : clients) {
            String got = each.read();
            assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("u" + clients.indexOf(each)), got);
        }
        assertEquals(
                10, endpoint.requests.stream().filter(r -> r.startsWith("POST")).count());
    }

    /**
     * The process stalls, and then handles a response in the same event loop turn as the deadline of its transaction.
     * Exactly one of them must decide the result.
     */
    @Test
    void responseInTheSameTurnAsItsDeadlineGivesOneResult() throws Exception {
        Gate gate = new Gate();
        StubEndpoint endpoint = endpoint(r -> {
            if (header(r, "X-Trace-Id").startsWith("u")) {
                gate.awaitOpen();
            }
            return response(200, "", header(r, "X-Trace-Id"));
        });
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
            clients.get(i).write(transaction(i % 2 == 0 ? "quote" : "post-charge", "u" + i, 1_000));
        }
        eventually(() -> endpoint.requests.size() == 20);
        signal("STOP");
        eventually(this::allThreadsStopped);
        gate.open();
        // Lasts until all transactions have ended, which they do when a quarter of their timeout is left.
        pause(1_100);
        signal("CONT");
        for (TestClient each : clients) {
            String got = each.read();
            int i = clients.indexOf(each);
            assertTrue(
                    got.endsWith("\r\n\r\nu" + i) || got.startsWith(i % 2 == 0 ? "HTTP/1.1 503 " : "HTTP/1.1 502 "),
                    got);
        }
        // Each request got one response: the next response on the connection belongs to the next request.
        for (TestClient each : clients) {
            String trace = "v" + clients.indexOf(each);
            String got = each.exchange(transaction("quote", trace, 900));
            assertTrue(got.endsWith("\r\n\r\n" + trace) || got.startsWith("HTTP/1.1 503 "), got);
        }
        assertEquals(
                40,
                counters().getLong("committed")
                        + counters().getLong("rolled_back")
                        + counters().getLong("abandoned"));
    }
}
