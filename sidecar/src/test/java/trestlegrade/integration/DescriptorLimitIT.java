package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.inbound.DescriptorBudget;

/** More connections than a sidecar has descriptors. */
class DescriptorLimitIT extends SidecarFixture {
    /**
     * All descriptors for clients are held, by busy connections and by silent ones. The silent ones give way to a
     * client that sends a request.
     */
    @Test
    void silentConnectionsDoNotHoldTheLastDescriptors() throws Exception {
        sockets = 64;
        settings()
                .getJsonArray("profiles")
                .getJsonObject(0)
                .put("hard_limit", 40_000)
                .put("service_goal", 40_000);
        StubEndpoint endpoint = endpoint(r -> HANG);
        startAndAwaitHealthy();
        int maxClients = DescriptorBudget.forClients(sockets).limit();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < maxClients; i++) {
            clients.add(client());
            if (i < DescriptorBudget.forAttempts(sockets).limit()) {
                clients.get(i).write(transaction("quote", "t" + i, 30_000));
                eventually(() -> endpoint.requests.size() == clients.size());
            }
        }
        // Waits in the listener's backlog at first, because all descriptors are held.
        String got = client().exchange(transaction("quote", "u", 5_000));
        assertTrue(got.startsWith("HTTP/1.1 "), got);
    }

    /** Clients connect and send nothing. Regular clients lose neither connections nor requests to them. */
    @Test
    void silentConnectionsAreEvictedForConnectionsThatSend() throws Exception {
        endpoint(r -> response(200, "", "good"));
        sockets = 64;
        startAndAwaitHealthy();
        TestClient regular = client();
        assertTrue(regular.exchange(transaction("quote", "t", 500)).startsWith("HTTP/1.1 200 "));
        for (int i = 0; i < 14; i++) {
            client();
        }
        pause(1_000);
        for (int i = 0; i < 10; i++) {
            assertTrue(client().exchange(transaction("quote", "u" + i, 500)).startsWith("HTTP/1.1 200 "));
        }
        assertTrue(regular.exchange(transaction("quote", "v", 500)).startsWith("HTTP/1.1 200 "));
    }

    /**
     * More clients connect than there are descriptors for attempts, and the endpoint is silent. Each client gets a
     * response; transactions whose attempt found no descriptor are rolled back.
     */
    @Test
    void clientsBeyondTheDescriptorLimitGetAResponse() throws Exception {
        StubEndpoint silent = endpoint(r -> HANG);
        sockets = 64;
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            clients.add(client());
            clients.get(i).write(transaction("post-charge", "t" + i, 600));
        }
        int rolledBack = 0;
        for (TestClient each : clients) {
            String got = each.read();
            assertTrue(got.startsWith("HTTP/1.1 50"), got);
            rolledBack += got.startsWith("HTTP/1.1 503 ") ? 1 : 0;
        }
        assertTrue(rolledBack >= 10 && rolledBack < 30, rolledBack + " rolled back");
        assertEquals(30 - rolledBack, silent.requests.size());
        silent.responder = r -> response(200, "", "good");
        for (TestClient each : clients) {
            each.close();
        }
        pause(100);
        // The policy rolls back early for a while after so many attempts without a response.
        TestClient after = client();
        within(
                5_000,
                () -> after.exchangeUnchecked(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
    }

    /**
     * Clients that send one request on each connection and keep it open would hold all descriptors. They hold no more
     * than half of the descriptors for clients.
     */
    @ParameterizedTest
    @ValueSource(strings = {"quote", "_health"})
    void connectionsAreClosedAfterTheirResponseDuringAFlood(String target) throws Exception {
        endpoint(r -> response(200, "", "good"));
        sockets = 100;
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            TestClient each = client();
            clients.add(each);
            String got = each.exchange(
                    target.equals("quote")
                            ? transaction("quote", "t" + i, 500)
                            : "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
            assertTrue(got.startsWith("HTTP/1.1 200 "), got);
            assertEquals(i >= 19, got.toLowerCase(Locale.ROOT).contains("connection: close"), i + ": " + got);
        }
        assertTrue(clients.get(0).exchange(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
        assertEquals("", clients.get(59).read());
    }

    /**
     * New clients connect while many wait for their responses. Busy connections are kept however many clients connect,
     * because silent connections are closed first.
     */
    @Test
    void busyConnectionsAreKept() throws Exception {
        endpoint(r -> {
            pause(r.contains("/post-charge") ? 1_500 : 0);
            return response(200, "", "good");
        });
        sockets = 100;
        startAndAwaitHealthy();
        // The event loop stalls for up to half a second at startup, and its recorded lag halves each second. Until
        // then no connection is closed that may hold unread data.
        pause(2_500);
        List<TestClient> busy = new ArrayList<>();
        for (int i = 0; i < 25; i++) {
            busy.add(client());
            busy.get(i).write(transaction("post-charge", "t" + i, 2_500));
        }
        for (int i = 0; i < 9; i++) {
            client();
        }
        pause(700);
        for (int i = 0; i < 20; i++) {
            // The policy may roll back early after so long without a commit, but there is a descriptor in any case.
            client().exchange(transaction("quote", "u" + i, 500));
        }
        assertTrue(log().contains("client code=room") && !log().contains("client code=too-many"), log());
        for (TestClient each : busy) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
    }
}
