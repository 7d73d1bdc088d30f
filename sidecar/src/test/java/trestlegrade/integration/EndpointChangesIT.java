package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Effects of changes of the endpoint list on transactions and connections. */
class EndpointChangesIT extends SidecarFixture {
    /**
     * An endpoint drains, so attempts that are sent to it from then on may be lost. Its idle connections are closed,
     * and nothing is sent to it until the list contains it as active again.
     */
    @Test
    void drainingEndpointGetsNoNewTransactions() throws Exception {
        StubEndpoint first = endpoint(r -> response(200, "", "good"));
        StubEndpoint second = endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        TestClient client = client();
        for (int i = 0; i < 100; i++) {
            client.exchange(transaction("quote", "t" + i, 500));
        }
        assertTrue(first.requests.size() > 10 && second.requests.size() > 10, first.requests.size() + " at the first");
        eventually(() -> discovery.requests.size() == 1);
        discovery.writeLine(listLine(8, false, entry(0, "leaving")));
        eventually(() -> first.closedConnections.size() == first.connectionCount.get());
        int before = first.requests.size();
        for (int i = 0; i < 50; i++) {
            assertTrue(client.exchange(transaction("quote", "u" + i, 500)).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, first.requests.size());
        discovery.writeLine(listLine(9, true, entry(0, "active")));
        eventually(() -> second.closedConnections.size() == second.connectionCount.get());
        assertTrue(client.exchange(transaction("quote", "v", 500)).startsWith("HTTP/1.1 200 "));
        assertTrue(first.received("v"));
    }

    /**
     * An endpoint is replaced at its address. Only the endpoint that started last can listen there, whatever the list
     * still says about the old one.
     */
    @Test
    void newEndpointAtAnOldAddressInheritsNoConnection() throws Exception {
        StubEndpoint first = endpoint(r -> response(200, "", "good"));
        endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        TestClient client = client();
        for (int i = 0; i < 50; i++) {
            client.exchange(transaction("quote", "t" + i, 500));
        }
        eventually(() -> discovery.requests.size() == 1);
        assertEquals(0, first.closedConnections.size());
        discovery.writeLine(
                listLine(8, false, entry(0, "active").put("name", "s-new").put("since_ms", 1)));
        eventually(() -> first.closedConnections.size() == first.connectionCount.get());
        int before = first.requests.size();
        for (int i = 0; i < 50; i++) {
            client.exchange(transaction("quote", "u" + i, 500));
        }
        assertTrue(first.requests.size() > before + 10);
        // Later entries of the old endpoint do not affect the new one.
        discovery.writeLine(listLine(9, false, entry(0, "left"), entry(1, "leaving"), entry(0, "active")));
        eventually(() -> counters().getLong("list_lines") == 2);
        before = first.requests.size();
        client.exchange(transaction("quote", "v", 500));
        assertEquals(before + 1, first.requests.size());
        assertTrue(log().contains("pooled code=gone peer=s-0 "), log());
    }

    /** A watch ends, is rejected, is malformed, or falls silent. It is requested again from the last version. */
    @ParameterizedTest
    @ValueSource(strings = {"ended", "rejected", "malformed", "silent"})
    void failedWatchIsRequestedAgain(String fault) throws Exception {
        endpoint(r -> response(200, "", "good"));
        discovery.heartbeats = false;
        discovery.responder =
                r -> discovery.requests.size() > 1 || !fault.equals("rejected") ? HANG : response(503, "", "");
        startAndAwaitHealthy();
        eventually(() -> !discovery.requests.isEmpty());
        if (!fault.equals("rejected")) {
            discovery.writeLine(listLine(12, false));
            eventually(() -> counters().getLong("list_lines") == 1);
        }
        if (fault.equals("ended")) {
            discovery.closeAllConnections();
        } else if (fault.equals("malformed")) {
            discovery.writeLine("{\"index\":");
        }
        within(7_000, () -> discovery.requests.size() == 2);
        assertTrue(
                discovery
                        .requests
                        .get(1)
                        .startsWith("GET /catalog/members?stream=1&index=" + (fault.equals("rejected") ? 7 : 12) + " "),
                discovery.requests.get(1));
        assertTrue(client().exchange(transaction("quote", "t", 500)).startsWith("HTTP/1.1 200 "));
    }

    /**
     * The process is suspended for longer than the drain grace. A change of the list that arrives meanwhile is applied
     * before requests that clients sent. From then on responses are sent earlier before their deadlines.
     */
    @Test
    void stalledEventLoopAppliesTheListBeforeRequests() throws Exception {
        StubEndpoint first = endpoint(r -> response(200, "", "good"));
        StubEndpoint second = endpoint(r -> response(200, "", "good"));
        raiseHardLimitOfQuotes();
        startAndAwaitHealthy();
        eventually(() -> discovery.requests.size() == 1);
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
            clients.get(i).exchange(transaction("quote", "t" + i, 500));
        }
        TestClient expired = client();
        expired.exchange(transaction("quote", "t20", 500));
        clients.get(0).write(transaction("quote", "u", 2_900));
        eventually(() -> first.received("u") || second.received("u"));
        signal("STOP");
        eventually(this::allThreadsStopped);
        for (TestClient each : clients.subList(1, 20)) {
            // Long enough that time remains after the suspension, even on a busy machine.
            each.write(transaction("post-charge", "v" + clients.indexOf(each), 2_900));
        }
        expired.write(transaction("quote", "expired", 1_000));
        discovery.writeLine(listLine(8, false, entry(0, "leaving")));
        pause(1_100);
        int before = first.requests.size();
        signal("CONT");
        for (TestClient each : clients) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, first.requests.size());
        assertTrue(expired.read().startsWith("HTTP/1.1 503 "));
        assertTrue(!first.received("expired") && !second.received("expired"), "read and forwarded after its deadline");
        second.responder = r -> HANG;
        Stopwatch watch = new Stopwatch();
        assertTrue(clients.get(0).exchange(transaction("quote", "w", 2_900)).startsWith("HTTP/1.1 503 "));
        long durationMillis = watch.milliseconds();
        assertTrue(durationMillis < 2_500, "after " + durationMillis + " ms");
    }

    private void raiseHardLimitOfQuotes() {
        settings()
                .put(
                        "profiles",
                        new JsonArray(settings()
                                .getJsonArray("profiles")
                                .encode()
                                .replace("\"hard_limit\":1500", "\"hard_limit\":3000")));
    }

    /** Each watch sends the list and ends at once. Without a delay the requests for watches would flood discovery. */
    @Test
    void watchThatEndsAtOnceIsRequestedOnceASecond() throws Exception {
        endpoint(r -> response(200, "", "good"));
        discovery.responder =
                r -> response(200, "Connection: close\r\n", listLine(discovery.requests.size() + 7, false) + "\n");
        startAndAwaitHealthy();
        eventually(() -> discovery.requests.size() > 0);
        int before = discovery.requests.size();
        pause(2_500);
        int count = discovery.requests.size() - before;
        assertTrue(count >= 1 && count <= 3, count + " times in 2.5 s");
    }
}
