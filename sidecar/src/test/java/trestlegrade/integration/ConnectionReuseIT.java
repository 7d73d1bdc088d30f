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

/** Connections to endpoints: which are reused, and which must not be. */
class ConnectionReuseIT extends SidecarFixture {
    /**
     * An endpoint closes connections that were idle for its keep-alive time, and an attempt that is sent at the same
     * moment is lost. Connections are reused, but closed before that time.
     */
    @Test
    void idleConnectionsAreReusedAndClosedBeforeTheEndpointClosesThem() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        settings().getJsonObject("ceilings").put("keepalive", 1_000.0);
        startAndAwaitHealthy();
        TestClient client = client();
        for (int i = 0; i < 5; i++) {
            client.exchange(transaction("quote", "t" + i, 500));
            // A connection is quarantined for 30 ms after a response.
            pause(60);
        }
        assertEquals(1, endpoint.connectionCount.get());
        assertEquals(0, endpoint.closedConnections.size());
        long start = System.nanoTime();
        eventually(() -> endpoint.closedConnections.size() == 1);
        assertTrue((System.nanoTime() - start) / 1_000_000 >= 700, "closed too soon");
        client.exchange(transaction("quote", "t9", 500));
        assertEquals(2, endpoint.connectionCount.get());
    }

    /** The endpoint closes connections idle for 0.15 s at the next attempt. That costs one transaction, not all. */
    @Test
    void connectionsAreNotReusedAfterAnIdleTimeThatFailed() throws Exception {
        AtomicInteger pooled = new AtomicInteger();
        long[] last = {System.nanoTime()};
        StubEndpoint endpoint = endpoint(r -> HANG);
        endpoint.responder = r -> {
            boolean reused = pooled.getAndSet(endpoint.connectionCount.get()) == endpoint.connectionCount.get();
            boolean idle = System.nanoTime() - last[0] > 150_000_000;
            last[0] = System.nanoTime();
            return reused && idle ? CLOSE : response(200, "", "good");
        };
        startAndAwaitHealthy();
        TestClient client = client();
        int committed = 0;
        for (int i = 0; i < 10; i++) {
            committed +=
                    client.exchange(transaction("post-charge", "t" + i, 900)).startsWith("HTTP/1.1 200 ") ? 1 : 0;
            pause(200);
        }
        // A busy machine may notice the first failure too late to learn from it. Without learning, every other
        // transaction would fail.
        assertTrue(committed >= 7, "only " + committed + " committed");
    }

    /**
     * An attempt times out, so the path to its endpoint may be dead. From then on an idle connection is reused only if
     * it has received a response since.
     */
    @Test
    void timeoutClosesIdleConnectionsWithoutALaterResponse() throws Exception {
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

    /** The endpoint closes the connection after its response, as announced. A further attempt would be lost. */
    @Test
    void connectionClosedByAResponseIsNotReused() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "Connection: close\r\n", "good"));
        startAndAwaitHealthy();
        TestClient client = client();
        for (int i = 0; i < 20; i++) {
            assertTrue(client.exchange(transaction("post-charge", "t" + i, 500)).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(20, endpoint.connectionCount.get());
    }
}
