package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.answer;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Changes of the endpoint list meet transactions and connections. */
class EndpointChangesIT extends SidecarFixture {
    /**
     * An endpoint drains, and what is sent to it from then on may be lost. Its idle connections are closed, and nothing
     * goes to it until the list has it again.
     */
    @Test
    void drainingEndpointGetsNothingNew() throws Exception {
        StubEndpoint first = endpoint(r -> answer(200, "", "good"));
        StubEndpoint second = endpoint(r -> answer(200, "", "good"));
        serve();
        TestClient client = client();
        for (int i = 0; i < 100; i++) {
            client.ask(transaction("quote", "t" + i, 500));
        }
        assertTrue(first.seen.size() > 10 && second.seen.size() > 10, first.seen.size() + " at the first");
        eventually(() -> discovery.seen.size() == 1);
        discovery.line(list(8, false, entry(0, "leaving")));
        eventually(() -> first.ended.size() == first.connections.get());
        int before = first.seen.size();
        for (int i = 0; i < 50; i++) {
            assertTrue(client.ask(transaction("quote", "u" + i, 500)).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, first.seen.size());
        discovery.line(list(9, true, entry(0, "active")));
        eventually(() -> second.ended.size() == second.connections.get());
        assertTrue(client.ask(transaction("quote", "v", 500)).startsWith("HTTP/1.1 200 "));
        assertTrue(first.saw("v"));
    }

    /**
     * An endpoint is replaced at its address. Only the one that started last can listen there, whatever the list still
     * says of the other.
     */
    @Test
    void newNameAtAnOldAddressTakesNoConnectionOver() throws Exception {
        StubEndpoint first = endpoint(r -> answer(200, "", "good"));
        endpoint(r -> answer(200, "", "good"));
        serve();
        TestClient client = client();
        for (int i = 0; i < 50; i++) {
            client.ask(transaction("quote", "t" + i, 500));
        }
        eventually(() -> discovery.seen.size() == 1);
        assertEquals(0, first.ended.size());
        discovery.line(list(8, false, entry(0, "active").put("name", "s-new").put("since_ms", 1)));
        eventually(() -> first.ended.size() == first.connections.get());
        int before = first.seen.size();
        for (int i = 0; i < 50; i++) {
            client.ask(transaction("quote", "u" + i, 500));
        }
        assertTrue(first.seen.size() > before + 10);
        // What is said of the old one later changes nothing for the new one.
        discovery.line(list(9, false, entry(0, "left"), entry(1, "leaving"), entry(0, "active")));
        eventually(() -> counters().getLong("list_lines") == 2);
        before = first.seen.size();
        client.ask(transaction("quote", "v", 500));
        assertEquals(before + 1, first.seen.size());
        assertTrue(log().contains("pooled code=gone peer=s-0 "), log());
    }

    /** A watch ends, is refused, is not one, or goes silent. It is requested again, from the last version on. */
    @ParameterizedTest
    @ValueSource(strings = {"ends", "refused", "nonsense", "silent"})
    void failedWatchIsRequestedAgain(String fault) throws Exception {
        endpoint(r -> answer(200, "", "good"));
        discovery.beats = false;
        discovery.answers = r -> discovery.seen.size() > 1 || !fault.equals("refused") ? HANG : answer(503, "", "");
        serve();
        eventually(() -> !discovery.seen.isEmpty());
        if (!fault.equals("refused")) {
            discovery.line(list(12, false));
            eventually(() -> counters().getLong("list_lines") == 1);
        }
        if (fault.equals("ends")) {
            discovery.dropAll();
        } else if (fault.equals("nonsense")) {
            discovery.line("{\"index\":");
        }
        within(7_000, () -> discovery.seen.size() == 2);
        assertTrue(
                discovery
                        .seen
                        .get(1)
                        .startsWith("GET /catalog/members?stream=1&index=" + (fault.equals("refused") ? 7 : 12) + " "),
                discovery.seen.get(1));
        assertTrue(client().ask(transaction("quote", "t", 500)).startsWith("HTTP/1.1 200 "));
    }

    /**
     * The process stands still past the grace for drains; what the list said meanwhile comes before what clients sent.
     * From then on answers leave more time before their deadlines.
     */
    @Test
    void stalledEventLoopAppliesTheListBeforeRequests() throws Exception {
        StubEndpoint first = endpoint(r -> answer(200, "", "good"));
        StubEndpoint second = endpoint(r -> answer(200, "", "good"));
        raiseLimitOfQuotes();
        serve();
        eventually(() -> discovery.seen.size() == 1);
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
            clients.get(i).ask(transaction("quote", "t" + i, 500));
        }
        TestClient over = client();
        over.ask(transaction("quote", "t20", 500));
        clients.get(0).write(transaction("quote", "u", 2_900));
        eventually(() -> first.saw("u") || second.saw("u"));
        signal("STOP");
        eventually(this::stopped);
        for (TestClient each : clients.subList(1, 20)) {
            // Long enough that a busy machine has time left for them after the stop.
            each.write(transaction("post-charge", "v" + clients.indexOf(each), 2_900));
        }
        over.write(transaction("quote", "over", 1_000));
        discovery.line(list(8, false, entry(0, "leaving")));
        pause(1_100);
        int before = first.seen.size();
        signal("CONT");
        for (TestClient each : clients) {
            assertTrue(each.read().startsWith("HTTP/1.1 200 "));
        }
        assertEquals(before, first.seen.size());
        assertTrue(over.read().startsWith("HTTP/1.1 503 "));
        assertTrue(!first.saw("over") && !second.saw("over"), "its time was over before it was read");
        second.answers = r -> HANG;
        Stopwatch watch = new Stopwatch();
        assertTrue(clients.get(0).ask(transaction("quote", "w", 2_900)).startsWith("HTTP/1.1 503 "));
        long took = watch.milliseconds();
        assertTrue(took < 2_500, "after " + took + " ms");
    }

    private void raiseLimitOfQuotes() {
        settings()
                .put(
                        "profiles",
                        new JsonArray(settings()
                                .getJsonArray("profiles")
                                .encode()
                                .replace("\"hard_limit\":1500", "\"hard_limit\":3000")));
    }

    /** Each watch brings the list and ends at once. Requested at once, over and over, discovery would be flooded. */
    @Test
    void watchThatEndsAtOnceIsRequestedOnceASecond() throws Exception {
        endpoint(r -> answer(200, "", "good"));
        discovery.answers = r -> answer(200, "Connection: close\r\n", list(discovery.seen.size() + 7, false) + "\n");
        serve();
        eventually(() -> discovery.seen.size() > 0);
        int before = discovery.seen.size();
        pause(2_500);
        int asked = discovery.seen.size() - before;
        assertTrue(asked >= 1 && asked <= 3, asked + " times in 2.5 s");
    }
}
