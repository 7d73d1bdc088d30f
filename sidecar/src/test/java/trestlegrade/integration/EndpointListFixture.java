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

/** Two endpoints, and a watch of the endpoint list on which only the test sends lines. */
abstract class EndpointListFixture extends SidecarFixture {
    /** Both are in the initial list. */
    final StubEndpoint[] stubs = {endpoint(r -> response(200, "", "good")), endpoint(r -> response(200, "", "good"))};

    /** Each test decides itself what a watch sends, and when. */
    @BeforeEach
    void disableHeartbeats() {
        discovery.heartbeats = false;
    }

    /** Starts the program and waits until it is healthy, with both endpoints listed and one watch open. */
    void startWatched() throws Exception {
        useLongTimeouts();
        start();
        eventually(() -> discovery.requests.size() == 1);
        within(10_000, () -> {
            try {
                // Empty lines keep the watch from counting as silent, however long the start takes.
                discovery.write(0, "\n");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return health() == 200;
        });
    }

    /** Sends twenty transactions and returns how many each endpoint received. */
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
     * Like {@link #requestsPerEndpoint}, while other clients hold all descriptors available for client connections. A
     * response may close its connection, and a request that finds no descriptor is rejected with a 503 and retried. All
     * twenty are committed in the end.
     */
    int[] requestsPerEndpointUnderConnectionFlood(String trace) {
        int[] before = {stubs[0].requests.size(), stubs[1].requests.size()};
        AtomicInteger attempts = new AtomicInteger();
        for (int i = 0; i < 20; i++) {
            eventually(() -> {
                try (TestClient client = new TestClient(port)) {
                    String got = client.exchange(transaction("quote", trace + attempts.incrementAndGet(), 9_000));
                    assertTrue(got.startsWith("HTTP/1.1 200 ") || got.startsWith("HTTP/1.1 503 "), got);
                    return got.startsWith("HTTP/1.1 200 ");
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
        int[] counts = {stubs[0].requests.size() - before[0], stubs[1].requests.size() - before[1]};
        assertEquals(20, counts[0] + counts[1]);
        return counts;
    }

    /** Waits until the sidecar has read this number of lines of the endpoint list. */
    void awaitListLines(long lines) {
        eventually(() -> counters().getLong("list_lines", 0L) == lines);
    }
}
