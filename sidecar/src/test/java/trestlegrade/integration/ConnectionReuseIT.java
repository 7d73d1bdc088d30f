package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.CLOSE;
import static trestlegrade.integration.StubServer.HANG;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Connections to endpoints that are used again, and those that must not be. */
class ConnectionReuseIT extends SidecarFixture {
    /**
     * An endpoint closes connections that were idle for its keep-alive time, and an attempt that crosses the close is
     * lost. Connections are reused, and closed before that time.
     */
    @Test
    void idleConnectionsAreReusedAndClosedBeforeTheEndpointWould() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        settings().getJsonObject("ceilings").put("keepalive", 1_000.0);
        startAndAwaitHealthy();
        TestClient client = client();
        for (int i = 0; i < 5; i++) {
            client.exchange(transaction("quote", "t" + i, 500));
            // A connection rests for 30 ms behind an answer.
            pause(60);
        }
        assertEquals(1, endpoint.connectionCount.get());
        assertEquals(0, endpoint.closedConnections.size());
        long start = System.nanoTime();
        eventually(() -> endpoint.closedConnections.size() == 1);
        assertTrue((System.nanoTime() - start) / 1_000_000 >= 700, "dropped too soon");
        client.exchange(transaction("quote", "t9", 500));
        assertEquals(2, endpoint.connectionCount.get());
    }

    /** The endpoint ends connections idle for 0.15 s under the next attempt: that costs one transaction, not all. */
    @Test
    void connectionsThatBreakAfterIdlingAreNotTrustedAgain() throws Exception {
        AtomicInteger pooled = new AtomicInteger();
        long[] last = {System.nanoTime()};
        StubEndpoint endpoint = endpoint(r -> HANG);
        endpoint.responder = r -> {
            boolean old = pooled.getAndSet(endpoint.connectionCount.get()) == endpoint.connectionCount.get();
            boolean idle = System.nanoTime() - last[0] > 150_000_000;
            last[0] = System.nanoTime();
            return old && idle ? CLOSE : response(200, "", "good");
        };
        startAndAwaitHealthy();
        TestClient client = client();
        int committed = 0;
        for (int i = 0; i < 10; i++) {
            committed += client.exchange(transaction("post-charge", "t" + i, 900)).startsWith("HTTP/1.1 200 ") ? 1 : 0;
            pause(200);
        }
        // A busy machine may see the first break too late to learn of it; never learnt, every other one would break.
        assertTrue(committed >= 7, "only " + committed);
    }

    /**
     * An attempt times out: the way to its endpoint may be dead. An idle connection is trusted from then on only if it
     * has brought an answer since.
     */
    @Test
    void timeoutClosesIdleConnectionsWithoutALaterAnswer() throws Exception {
        StubEndpoint endpoint = endpoint(r -> {
            pause(100);
            return r.contains("hang") ? HANG : response(200, "", "good");
        });
        startAndAwaitHealthy();
        List<TestClient> clients = List.of(client(), client(), client());
        for (int i = 0; i < 3; i++) {
            clients.get(i).write(transaction("quote", "t" + i, 900));
        }
        for (TestClient each : clients) {
            each.read();
        }
        assertEquals(3, endpoint.connectionCount.get());
        pause(50);
        clients.get(0).write(transaction("post-charge", "hang", 500));
        pause(50);
        assertTrue(clients.get(1).exchange(transaction("quote", "u", 900)).startsWith("HTTP/1.1 200 "));
        assertEquals(0, endpoint.closedConnections.size());
        assertTrue(clients.get(0).read().startsWith("HTTP/1.1 502 "));
        eventually(() -> endpoint.closedConnections.size() == 2);
        pause(100);
        assertEquals(2, endpoint.closedConnections.size());
    }

    /**
     * The endpoint says that it ends the connection with its answer. An attempt that is written behind it would be
     * lost.
     */
    @Test
    void connectionThatAnAnswerClosesIsNotReused() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "Connection: close\r\n", "good"));
        startAndAwaitHealthy();
        TestClient client = client();
        for (int i = 0; i < 20; i++) {
            assertTrue(client.exchange(transaction("post-charge", "t" + i, 500)).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(20, endpoint.connectionCount.get());
    }
}
