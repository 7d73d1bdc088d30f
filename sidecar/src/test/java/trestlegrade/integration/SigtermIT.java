package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import java.nio.file.Files;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** SIGTERM while clients are served. */
class SigtermIT extends SidecarFixture {
    /**
     * No other process serves these clients, so the sidecar serves them until shortly before its exit. The last
     * accepted transactions get a response too.
     */
    @Test
    void openAndNewTransactionsGetAResponseAfterSigterm() throws Exception {
        StubEndpoint slow = endpoint(r -> {
            pause(r.contains("/post-charge") ? 1_000 : 10);
            return r.contains("silent") ? HANG : response(200, "", "good");
        });
        startAndAwaitHealthy();
        TestClient busy = client();
        TestClient idle = client();
        idle.exchange(transaction("quote", "t0", 500));
        busy.write(transaction("post-charge", "t1", 2_000));
        eventually(() -> slow.received("t1"));
        long start = System.nanoTime();
        Stopwatch watch = new Stopwatch();
        process.destroy();
        pause(300);
        assertTrue(idle.exchange(transaction("quote", "t2", 500)).startsWith("HTTP/1.1 200 "));
        assertTrue(client().exchange(transaction("quote", "t3", 500)).startsWith("HTTP/1.1 200 "));
        assertEquals(503, health());
        assertTrue(busy.read().startsWith("HTTP/1.1 200 "));
        pause(2_350 - (System.nanoTime() - start) / 1_000_000);
        assertTrue(idle.exchange(transaction("quote", "t4", 500)).startsWith("HTTP/1.1 200 "));
        busy.write(transaction("post-charge", "silent", 3_000));
        String last = busy.read();
        assertTrue(
                last.startsWith("HTTP/1.1 502 ")
                        && last.toLowerCase(Locale.ROOT).contains("connection: close"),
                last);
        assertEquals("", idle.read());
        assertTrue(exitsWithin(2_000));
        assertTrue(watch.milliseconds() < 3_700, "the process exits before it is killed");
        assertEquals(0, process.exitValue());
        String log = Files.readString(dir.resolve("log"));
        assertTrue(log.contains("code=ended") && log.contains("\"accepted\":6,\"committed\":5"), log);
    }

    /** Clients whose timeout is after the exit of the process get their one response before the exit. */
    @Test
    void transactionsThatWouldOutliveTheProcessGetAResponse() throws Exception {
        StubEndpoint silent = endpoint(r -> HANG);
        settings()
                .put(
                        "profiles",
                        new JsonArray(settings()
                                .getJsonArray("profiles")
                                .encode()
                                .replaceAll("\"hard_limit\":(1500|3000)", "\"hard_limit\":9000")));
        startAndAwaitHealthy();
        TestClient[] clients = {client(), client()};
        clients[0].write(transaction("post-charge", "t0", 9_000));
        clients[1].write(transaction("quote", "t1", 9_000));
        eventually(() -> silent.received("t0") && silent.received("t1"));
        Stopwatch watch = new Stopwatch();
        process.destroy();
        assertTrue(clients[0].read().startsWith("HTTP/1.1 502 "));
        assertTrue(clients[1].read().startsWith("HTTP/1.1 503 "));
        assertTrue(exitsWithin(2_000));
        assertTrue(watch.milliseconds() < 3_700, "the process exits before it is killed");
        assertEquals(0, process.exitValue());
    }

    /** The process waits until its clients have disconnected, and no longer. */
    @Test
    void exitsAsSoonAsItsClientsHaveDisconnected() throws Exception {
        endpoint(r -> response(200, "", "good"));
        startAndAwaitHealthy();
        TestClient client = client();
        client.exchange(transaction("quote", "t", 500));
        process.destroy();
        pause(800);
        assertTrue(process.isAlive());
        client.close();
        assertTrue(exitsWithin(500));
        assertEquals(0, process.exitValue());
    }
}
