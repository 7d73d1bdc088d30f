package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for discovery. A watch gets the whole list first, then each change in a line of its own, and an empty line
 * every 2 s while nothing changes.
 */
final class Discovery implements AutoCloseable {
    private static final long EMPTY_LINE_MILLIS = 2_000;
    /** A call that has waited for this long fails. */
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    private final ServerSocket listener;
    private final Record record;
    private final Map<String, String> entries = new LinkedHashMap<>();
    /** Element i is the entry that changed with index i + 2. */
    private final List<String> changes = new ArrayList<>();

    private int watches;
    private volatile boolean crowded;

    Discovery(Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start("discovery", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Adds an endpoint to the list with index 1. */
    synchronized void add(Endpoint endpoint) {
        entries.put(endpoint.name, endpoint.entry("active"));
    }

    /** Returns the whole list. */
    synchronized String list() {
        return line(true, String.join(",", entries.values()));
    }

    private synchronized int index() {
        return changes.size() + 1;
    }

    private String line(boolean snapshot, String listed) {
        return String.format("{\"index\":%d,\"snapshot\":%b,\"endpoints\":[%s]}", index(), snapshot, listed);
    }

    /** Changes the status of an endpoint and tells all watches. */
    synchronized void setStatus(Endpoint endpoint, String status) {
        entries.put(endpoint.name, endpoint.entry(status));
        changes.add(endpoint.entry(status));
        record.add("discovery: index %d, %s is %s", index(), endpoint.name, status);
        notifyAll();
    }

    /** Lets discovery have too many callers from now on: each call waits until it fails. Open watches go on. */
    void setCrowded() {
        record.add("discovery: too many callers from now on, each call fails after %d ms", CALL_TIMEOUT_MILLIS);
        crowded = true;
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
                if (crowded) {
                    Thread.sleep(CALL_TIMEOUT_MILLIS);
                    record.add("discovery: 503 to %s", request.target());
                    socket.getOutputStream().write(Http.response(503, "", ""));
                } else if (request.target().contains("stream=1")) {
                    watch(request.target(), socket.getOutputStream());
                } else {
                    socket.getOutputStream().write(Http.response(200, "", list()));
                }
            }
        }
    }

    private void watch(String target, OutputStream out) throws IOException, InterruptedException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        int number;
        int written;
        String line;
        synchronized (this) {
            number = ++watches;
            written = index();
            line = list();
        }
        record.add("discovery: watch %d begins, %s", number, target);
        while (true) {
            write(out, line + "\n");
            record.add("discovery: watch %d was written %s", number, line.isEmpty() ? "an empty line" : line);
            synchronized (this) {
                awaitChange(written);
                line = index() == written ? "" : changesAfter(written);
                written = index();
            }
        }
    }

    private synchronized void awaitChange(int written) throws InterruptedException {
        double end = Record.now() + EMPTY_LINE_MILLIS;
        for (double left = EMPTY_LINE_MILLIS; index() == written && left > 0; left = end - Record.now()) {
            wait((long) Math.ceil(left));
        }
    }

    private String changesAfter(int index) {
        return line(false, String.join(",", changes.subList(index - 1, changes.size())));
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
