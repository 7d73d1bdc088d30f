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

/** More connections than the descriptors of a sidecar. */
class DescriptorLimitIT extends SidecarFixture {
    /**
     * All other connections are busy, so there is no room for those that come last; those that say nothing do not keep
     * it.
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
        int room = DescriptorBudget.forClients(sockets).limit();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < room; i++) {
            clients.add(client());
            if (i < DescriptorBudget.forAttempts(sockets).limit()) {
                clients.get(i).write(transaction("quote", "t" + i, 30_000));
                eventually(() -> endpoint.requests.size() == clients.size());
            }
        }
        // In the listener's queue, for all descriptors are held.
        String got = client().exchange(transaction("quote", "u", 5_000));
        assertTrue(got.startsWith("HTTP/1.1 "), got);
    }

    /** Clients connect and say nothing. They cost the usual clients neither their connections nor a turn. */
    @Test
    void silentConnectionsMakeRoomForOnesThatSend() throws Exception {
        endpoint(r -> response(200, "", "good"));
        sockets = 64;
        startAndAwaitHealthy();
        TestClient kept = client();
        assertTrue(kept.exchange(transaction("quote", "t", 500)).startsWith("HTTP/1.1 200 "));
        for (int i = 0; i < 14; i++) {
            client();
        }
        pause(1_000);
        for (int i = 0; i < 10; i++) {
            assertTrue(client().exchange(transaction("quote", "u" + i, 500)).startsWith("HTTP/1.1 200 "));
        }
        assertTrue(kept.exchange(transaction("quote", "v", 500)).startsWith("HTTP/1.1 200 "));
    }

    /**
     * More clients come than there are descriptors for attempts, and the endpoint is silent. Each client is answered;
     * those whose attempt found no descriptor are rolled back.
     */
    @Test
    void clientsBeyondTheDescriptorsAreAnswered() throws Exception {
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
        // The decisions roll back early for a while after so much silence.
        TestClient after = client();
        within(5_000, () -> after.exchangeUnchecked(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
    }

    /**
     * Clients that ask once on each connection and keep it would hold all descriptors. They hold no more than half of
     * what clients may.
     */
    @ParameterizedTest
    @ValueSource(strings = {"quote", "_health"})
    void inACrowdConnectionsEndWithTheirAnswer(String asked) throws Exception {
        endpoint(r -> response(200, "", "good"));
        sockets = 100;
        startAndAwaitHealthy();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            TestClient each = client();
            clients.add(each);
            String got = each.exchange(
                    asked.equals("quote")
                            ? transaction("quote", "t" + i, 500)
                            : "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
            assertTrue(got.startsWith("HTTP/1.1 200 "), got);
            assertEquals(i >= 19, got.toLowerCase(Locale.ROOT).contains("connection: close"), i + ": " + got);
        }
        assertTrue(clients.get(0).exchange(transaction("quote", "u", 500)).startsWith("HTTP/1.1 200 "));
        assertEquals("", clients.get(59).read());
    }

    /**
     * New clients come while many wait for their answers. Busy connections are kept however many more come; silent ones
     * make room first.
     */
    @Test
    void busyConnectionsAreKept() throws Exception {
        endpoint(r -> {
            pause(r.contains("/post-charge") ? 1_500 : 0);
            return response(200, "", "good");
        });
        sockets = 100;
        startAndAwaitHealthy();
        // The loop stands still for up to half a second as it starts, and remembers that, halved each second:
        // meanwhile it makes no room by connections that may hold something unread.
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
            // The decisions may roll back early after so long without a commit; there is room in any case.
            client().exchange(transaction("quote", "u" + i, 500));
        }
        assertTrue(log().contains("client code=room") && !log().contains("client code=too-many"), log());
        for (TestClient each : busy) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
    }
}
