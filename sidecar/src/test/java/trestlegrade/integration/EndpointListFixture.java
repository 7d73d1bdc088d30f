package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;

/** Two endpoints, and a watch of the list that brings what the test says, when it says so. */
abstract class EndpointListFixture extends SidecarFixture {
    /** The two endpoints, both listed. */
    final StubEndpoint[] stubs = {endpoint(r -> response(200, "", "good")), endpoint(r -> response(200, "", "good"))};

    /** What a watch brings, and when, is each test's own. */
    @BeforeEach
    void disableHeartbeats() {
        discovery.heartbeats = false;
    }

    /** Serves by the first endpoint and the second, both listed, with one watch open. */
    void startWatched() throws Exception {
        useLongTimeouts();
        start();
        eventually(() -> discovery.requests.size() == 1);
        within(10_000, () -> {
            try {
                // However long the start takes, the watch is not quiet meanwhile.
                discovery.write(0, "\n");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return health() == 200;
        });
    }

    /** How many of twenty went to each. */
    int[] requestsPerEndpoint(String trace) throws Exception {
        int[] before = {stubs[0].requests.size(), stubs[1].requests.size()};
        TestClient client = client();
        for (int i = 0; i < 20; i++) {
            assertTrue(client.exchange(transaction("quote", trace + i, 9_000)).startsWith("HTTP/1.1 200 "));
        }
        client.close();
        return new int[] {stubs[0].requests.size() - before[0], stubs[1].requests.size() - before[1]};
    }

    /**
     * As above, while others hold what clients may: an answer may end its connection, and who finds no room is told so
     * (503) and comes again. All twenty are committed in the end.
     */
    int[] requestsPerEndpointUnderConnectionFlood(String trace) {
        int[] before = {stubs[0].requests.size(), stubs[1].requests.size()};
        AtomicInteger tries = new AtomicInteger();
        for (int i = 0; i < 20; i++) {
            eventually(() -> {
                try (TestClient client = new TestClient(port)) {
                    String got = client.exchange(transaction("quote", trace + tries.incrementAndGet(), 9_000));
                    assertTrue(got.startsWith("HTTP/1.1 200 ") || got.startsWith("HTTP/1.1 503 "), got);
                    return got.startsWith("HTTP/1.1 200 ");
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
        int[] went = {stubs[0].requests.size() - before[0], stubs[1].requests.size() - before[1]};
        assertEquals(20, went[0] + went[1]);
        return went;
    }

    void awaitListLines(long lines) {
        eventually(() -> counters().getLong("list_lines", 0L) == lines);
    }
}
