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

/** Responses that end with their connection or arrive in parts: only a complete response is committed. */
class ResponseReaderIT extends SidecarFixture {
    private static final String NO_LENGTH = "HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\n";

    private StubEndpoint endpoint;
    private TestClient client;

    /**
     * Sends a transaction that must not be repeated, so that the client's status shows how the endpoint's response was
     * treated.
     */
    private void sendTransaction(String trace) throws Exception {
        client = client();
        client.write(transaction("post-charge", trace, 30_000));
        eventually(() -> endpoint.received(trace));
    }

    private void startSidecar() throws Exception {
        useLongTimeouts();
        endpoint = endpoint(r -> HANG);
        startAndAwaitHealthy();
    }

    /**
     * The response arrives before the end of its connection or, because the process stalls, in the same event loop
     * turn. A regular close completes a response without a length. A reset does not, and a regular close does not
     * complete a response that announces more data.
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
    void responseEndedByACloseIsCommittedOnlyIfComplete(String response, boolean reset, int status) throws Exception {
        startSidecar();
        String text = switch (response) {
            case "no length" -> NO_LENGTH + "body";
            case "head alone" -> NO_LENGTH;
            case "HTTP/1.0" -> "HTTP/1.0 200 OK\r\n\r\nbody";
            // No part of an incomplete response is trusted, so X-Never-Ran is ignored.
            case "turned away" -> NO_LENGTH.replace("200 OK", "503 X\r\nX-Never-Ran: 1") + "full";
            case "half a head" -> NO_LENGTH.substring(0, 30);
            case "length" -> "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody";
            default -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
        };
        for (String order : new String[] {"in one turn", "later"}) {
            sendTransaction(order);
            if (order.equals("in one turn")) {
                signal("STOP");
                eventually(this::allThreadsStopped);
            }
            endpoint.send(text);
            if (order.equals("later")) {
                // By the end of this pause the response has been read, but an incomplete response has not been given up
                // yet.
                pause(100);
            }
            endpoint.closeConnection(endpoint.connectionCount.get() - 1, reset);
            signal("CONT");
            String got = client.read();
            assertEquals(status, Integer.parseInt(got.substring(9, 12)), order + ": " + got);
            assertTrue(status != 200 || got.endsWith("\r\n\r\n" + (response.equals("head alone") ? "" : "body")), got);
        }
    }

    /** The whole response takes longer than the connect timeout, but no pause between its parts does. */
    @ParameterizedTest
    @ValueSource(strings = {NO_LENGTH, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"})
    void slowResponseIsReadForAsLongAsDataArrives(String head) throws Exception {
        settings().getJsonObject("ceilings").put("dial_timeout", 1_000);
        startSidecar();
        sendTransaction("t");
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
     * The rest of a response arrives while the process stalls for longer than the sidecar waits for the rest. This is
     * repeated, because a stall must not hide the next one.
     */
    @Test
    void restOfAResponseThatArrivesDuringAStallIsRead() throws Exception {
        startSidecar();
        for (int i = 0; i < 10; i++) {
            sendTransaction("t" + i);
            // With Connection: Close, so that each response has its own connection, which is the latest.
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
