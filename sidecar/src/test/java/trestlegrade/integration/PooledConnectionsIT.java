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

/** What an endpoint sends or ends on a connection meets the next attempt that would take it. */
class PooledConnectionsIT extends SidecarFixture {

    /**
     * A second answer is written some milliseconds behind the first, when the next transaction is out already: it must
     * not be taken for the answer to that one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"quote", "post-charge"})
    void aSecondAnswerThatComesLateReachesNobody(String profile) throws Exception {
        // The next attempt's own answer comes later than the stray one.
        StubEndpoint endpoint = answersTwice(12, 8);
        startAndAwaitHealthy();
        TestClient client = client();
        for (int i = 0; i < 60; i++) {
            String got = client.exchange(transaction(profile, "t" + i, 900));
            String whose = got.substring(got.indexOf("\r\n\r\n") + 4);
            assertTrue(
                    got.startsWith("HTTP/1.1 200 ") && whose.equals("t" + i),
                    () -> got + ", written " + endpoint.duplicateDelayNanos.getOrDefault(whose, 0L) / 1_000_000
                            + " ms behind its first");
            // The connection has been looked at since its answer, and the stray one is not there yet.
            pause(4);
        }
        assertTrue(
                counters().getJsonObject("connections_ended").getLong("pooled:excess") > 10,
                () -> counters().encode());
    }

    /**
     * The system of an endpoint without TCP_NODELAY holds its second answer back until the first is acknowledged, and
     * on a connection on which both sides speak in turn this side's system waits with that for 40 ms or for the next
     * bytes.
     */
    @ParameterizedTest
    @ValueSource(strings = {"quote", "post-charge"})
    void aSecondAnswerThatIsHeldBackReachesNobody(String profile) throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        useLongTimeouts();
        startAndAwaitHealthy();
        TestClient client = client();
        // A machine that is late itself writes none in some rounds.
        for (int round = 0; endpoint.duplicateDelayNanos.size() < 6; round++) {
            for (int i = 0; i < 5; i++) {
                client.exchange(transaction(profile, "warm" + round + "-" + i, 30_000));
                pause(36);
            }
            endpoint.duplicateAfterMillis = 8;
            client.exchange(transaction(profile, "t" + round, 30_000));
            // Rested, and free for the next one.
            pause(36);
            endpoint.duplicateAfterMillis = 0;
            String got = client.exchange(transaction(profile, "u" + round, 30_000));
            assertTrue(got.endsWith("\r\n\r\nu" + round), got);
        }
        eventually(() -> counters().getJsonObject("connections_ended").getLong("pooled:excess", 0L) >= 6);
    }

    /**
     * A second answer that comes behind the quarantine went to the next transaction on its connection: 8 of 100 clients
     * got another's answer from a distant endpoint that answers twice.
     */
    @ParameterizedTest
    @ValueSource(strings = {"quote", "post-charge"})
    void aSecondAnswerBehindTheQuarantineReachesNobodyOnceOneWasSeen(String profile) throws Exception {
        answersTwice(40, 2 * AttemptSender.QUARANTINE_MILLIS);
        startAndAwaitHealthy();
        TestClient client = client();
        for (int seen = 0; seen == 0; seen = excessBytesSeen()) {
            client.exchange(transaction(profile, "first", 900));
            pause(3 * AttemptSender.QUARANTINE_MILLIS);
        }
        for (int i = 0; i < 20; i++) {
            String got = client.exchange(transaction(profile, "t" + i, 900));
            assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\nt" + i), got);
            // The quarantine of the connection is over, and the stray answer is still to come.
            pause(AttemptSender.QUARANTINE_MILLIS + 8);
        }
    }

    /** An endpoint that takes so long for an answer, and sends it once more so long behind it. */
    private StubEndpoint answersTwice(int answerMillis, int strayMillis) {
        StubEndpoint endpoint = endpoint(r -> {
            pause(answerMillis);
            return response(200, "", header(r, "X-Trace-Id"));
        });
        endpoint.duplicateAfterMillis = strayMillis;
        return endpoint;
    }

    private int excessBytesSeen() {
        return counters().getJsonObject("connections_ended").getInteger("pooled:excess", 0);
    }

    /** The process stands still; what happens to an idle connection, and a transaction, wait for the same turn. */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset", "half a line"})
    void anIdleConnectionEndsInTheTurnInWhichItWouldBeTaken(String happens) throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", header(r, "X-Trace-Id")));
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            clients.add(client());
            clients.get(i).exchange(transaction("quote", "t" + i, 900));
        }
        // Rested, so that attempts which may not be repeated are trusted to them too.
        pause(100);
        int pooled = endpoint.connectionCount.get();
        signal("STOP");
        eventually(this::allThreadsStopped);
        for (int i = 0; i < pooled; i++) {
            if (happens.equals("half a line")) {
                endpoint.send(i, "HTTP/1.1 20");
            } else {
                endpoint.closeConnection(i, happens.equals("reset"));
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
     * The process stands still; an answer, and the end of its transaction, wait for the same turn: one of them counts.
     */
    @Test
    void anAnswerAndTheEndOfItsTransactionInOneTurn() throws Exception {
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
        // Past the ends of all, with a quarter of the wait kept before each.
        pause(1_100);
        signal("CONT");
        for (TestClient each : clients) {
            String got = each.read();
            int i = clients.indexOf(each);
            assertTrue(
                    got.endsWith("\r\n\r\nu" + i) || got.startsWith(i % 2 == 0 ? "HTTP/1.1 503 " : "HTTP/1.1 502 "),
                    got);
        }
        // One answer to each: the next on the same connection is the next one's own.
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
