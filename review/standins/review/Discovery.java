package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A stand-in for discovery, whose list does not change: a watch gets the whole list, then an empty line every 2 s. */
final class Discovery implements AutoCloseable {
    private static final long EMPTY_LINE_MILLIS = 2_000;

    private final ServerSocket listener;
    private final Record record;
    private final List<String> entries = new ArrayList<>();

    Discovery(Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start("discovery", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Adds an endpoint to the list. */
    synchronized void add(Endpoint endpoint) {
        entries.add(endpoint.entry());
    }

    /** Returns the whole list. */
    synchronized String list() {
        return "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    private void accept() throws IOException {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            Threads.start("discovery's connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (request.target().contains("stream=1")) {
                    watch(request.target(), socket.getOutputStream());
                } else {
                    socket.getOutputStream().write(Http.response(200, "", list()));
                }
            }
        }
    }

    private void watch(String target, OutputStream out) throws IOException, InterruptedException {
        record.add("discovery: a watch begins, %s", target);
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        write(out, list() + "\n");
        while (true) {
            Thread.sleep(EMPTY_LINE_MILLIS);
            write(out, "\n");
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
