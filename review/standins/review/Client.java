package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One connection of the application: one request at a time, and a new connection after the sidecar has ended one. */
final class Client implements AutoCloseable {
    /** Up to half a second after its time an answer only earns nothing. */
    private static final int LATE_MILLIS = 500;

    /** How a request ended for its client. */
    enum End {
        ANSWERED,
        /** The connection ended before the first byte of an answer. */
        CLOSED,
        /** The connection ended within the answer. */
        BROKEN,
        /** No answer came by half a second after the client's time. */
        SILENT
    }

    /** The result of one exchange. The status is that of the answer, if it came whole. */
    record Result(End end, int status, boolean newConnection, double sentAt, double endedAt) {
        String summary() {
            return end == End.ANSWERED ? "answered " + status : end.name().toLowerCase(Locale.ROOT);
        }
    }

    private final Sidecar sidecar;
    private Socket socket;
    private BufferedInputStream in;

    Client(Sidecar sidecar) {
        this.sidecar = sidecar;
    }

    /** Returns a request as the application writes it: a GET if it may be repeated, else a POST with this body. */
    static String request(Settings.Profile profile, String id, int waitMillis, String body) {
        boolean repeatable = profile.effect().equals("repeatable");
        return (repeatable ? "GET /" : "POST /") + profile.name() + "?k=7f3a9c21e0b4d655 HTTP/1.1\r\n"
                + "Host: origin.svc\r\n"
                + "X-Trace-Id: " + id + "\r\nX-Qos: " + profile.name() + "\r\nX-Customer: movil-norte\r\n"
                + "X-Expires-In: " + waitMillis + "m\r\n"
                + (repeatable ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Sends a request and waits for the end of its answer. Fails if no connection comes up or takes the request. */
    Result exchange(String request, int waitMillis) throws IOException {
        boolean newConnection = socket == null;
        if (newConnection) {
            socket = sidecar.connect();
            in = new BufferedInputStream(socket.getInputStream());
        }
        double sentAt;
        try {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            sentAt = Record.now();
        } catch (IOException e) {
            close();
            throw e;
        }
        socket.setSoTimeout(waitMillis + LATE_MILLIS);
        End end;
        boolean begun = false;
        try {
            in.mark(1);
            begun = in.read() >= 0;
            in.reset();
            Http.Message got = Http.read(in);
            if (got != null) {
                if (got.closes()) {
                    close();
                }
                return new Result(End.ANSWERED, got.status(), newConnection, sentAt, Record.now());
            }
            end = End.CLOSED;
        } catch (SocketTimeoutException e) {
            end = End.SILENT;
        } catch (IOException e) {
            end = begun ? End.BROKEN : End.CLOSED;
        }
        close();
        return new Result(end, 0, newConnection, sentAt, Record.now());
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is closed nevertheless.
            }
            socket = null;
        }
    }
}
