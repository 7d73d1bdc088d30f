package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint's answer that its connection ends, or that comes in parts: only a whole one is committed. */
class ResponseReaderIT extends SidecarFixture {
    private static final String NO_LENGTH = "HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\n";

    private StubEndpoint endpoint;
    private TestClient client;

    /** A transaction that may not be repeated is out, so that what its answer was taken for is what the client gets. */
    private void out(String trace) throws Exception {
        client = client();
        client.write(transaction("post-charge", trace, 30_000));
        eventually(() -> endpoint.received(trace));
    }

    private void begin() throws Exception {
        useLongTimeouts();
        endpoint = endpoint(r -> HANG);
        startAndAwaitHealthy();
    }

    /**
     * The answer comes before its connection's end, or with it in one turn of the loop, for the process stands still
     * meanwhile. A proper end makes an answer without a length whole; a reset makes none so, nor does a proper end one
     * that says that more is to come.
     */
    @ParameterizedTest
    @CsvSource(textBlock = """
            no length,    false, 200
            no length,    true,  502
            head alone,   false, 200
            head alone,   true,  502
            HTTP/1.0,     false, 200
            HTTP/1.0,     true,  502
            turned away,  true,  502
            half a head,  false, 502
            half a head,  true,  502
            length,       false, 502
            length,       true,  502
            chunks,       false, 502
            chunks,       true,  502""")
    void thatItsConnectionEnds(String answer, boolean reset, int status) throws Exception {
        begin();
        String text = switch (answer) {
            case "no length" -> NO_LENGTH + "body";
            case "head alone" -> NO_LENGTH;
            case "HTTP/1.0" -> "HTTP/1.0 200 OK\r\n\r\nbody";
            // Nothing of an answer that is not whole is to be believed.
            case "turned away" -> NO_LENGTH.replace("200 OK", "503 X\r\nX-Never-Ran: 1") + "full";
            case "half a head" -> NO_LENGTH.substring(0, 30);
            case "length" -> "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody";
            default -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
        };
        for (String order : new String[] {"in one turn", "later"}) {
            out(order);
            if (order.equals("in one turn")) {
                signal("STOP");
                eventually(this::allThreadsStopped);
            }
            endpoint.send(text);
            if (order.equals("later")) {
                // Read by then, and sooner than one that stays a part is given up.
                pause(100);
            }
            endpoint.closeConnection(endpoint.connectionCount.get() - 1, reset);
            signal("CONT");
            String got = client.read();
            assertEquals(status, Integer.parseInt(got.substring(9, 12)), order + ": " + got);
            assertTrue(status != 200 || got.endsWith("\r\n\r\n" + (answer.equals("head alone") ? "" : "body")), got);
        }
    }

    /** Slower as a whole than a connection may take to come up, but never silent for so long. */
    @ParameterizedTest
    @ValueSource(strings = {NO_LENGTH, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"})
    void thatGoesOnArrivingIsWaitedFor(String head) throws Exception {
        settings().getJsonObject("ceilings").put("dial_timeout", 1_000);
        begin();
        out("t");
        endpoint.send(head);
        for (int i = 0; i < 10; i++) {
            pause(200);
            endpoint.send("" + i);
        }
        endpoint.closeConnection(0, false);
        String got = client.read();
        assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\n0123456789"), got);
    }

    /**
     * The rest has come while the process stood still for longer than a part may stay alone; again and again, for one
     * stall must not hide the next.
     */
    @Test
    void whoseRestIsUnreadAfterAStallIsRead() throws Exception {
        begin();
        for (int i = 0; i < 10; i++) {
            out("t" + i);
            // With its connection's end, so that each has one of its own, the last.
            endpoint.send(NO_LENGTH.replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbo"));
            pause(50);
            signal("STOP");
            eventually(this::allThreadsStopped);
            endpoint.send("dy");
            pause(400);
            signal("CONT");
            String got = client.read();
            assertTrue(got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\nbody"), got);
        }
    }
}
