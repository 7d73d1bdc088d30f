import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for discovery: the whole list on each call, and watches that stay open. */
final class Discovery implements AutoCloseable {
    private static final long EMPTY_LINE_MILLIS = 2_000;

    private final Recorder recorder;
    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final Map<Integer, String> entries = new TreeMap<>();
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    private int index = 1;
    /** How long a call for a watch waits before it ends with 503; negative if calls succeed. */
    private volatile long failAfterMillis = -1;

    Discovery(Recorder recorder, Endpoints endpoints) throws IOException {
        this.recorder = recorder;
        for (int i = 0; i < endpoints.count(); i++) {
            entries.put(i, endpoints.entry(i));
        }
        background(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the whole list. */
    synchronized String list() {
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries.values()) + "]}";
    }

    /** Removes an endpoint from the list, and ends all watches instead of telling them. Returns the time. */
    double removeAndEndWatches(int endpoint) throws IOException {
        double at;
        synchronized (this) {
            entries.remove(endpoint);
            index++;
            at = recorder.add("discovery: %s has left the list, version %d", Endpoints.name(endpoint), index);
        }
        for (Socket watch : watches) {
            watch.setSoLinger(true, 0);
            watch.close();
            recorder.add("discovery: a watch ends (reset)");
        }
        return at;
    }

    /** From now on, calls for a watch end with 503 after this time. */
    void failCalls(long afterMillis) {
        failAfterMillis = afterMillis;
    }

    /** From now on, calls succeed again. */
    void serveCalls() {
        failAfterMillis = -1;
        recorder.add("discovery: serves calls again");
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private void background(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            background(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String requestLine = in.readLine();
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                continue;
            }
            if (requestLine != null) {
                respond(socket, requestLine);
            }
        } finally {
            watches.remove(socket);
        }
    }

    private void respond(Socket socket, String requestLine) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        boolean watch = requestLine.contains("stream=1");
        long failAfter = failAfterMillis;
        if (watch && failAfter >= 0) {
            Thread.sleep(failAfter);
            recorder.add("discovery: %s -> 503", requestLine);
            out.write(bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
            return;
        }
        recorder.add("discovery: %s -> 200, the whole list", requestLine);
        String list = list() + "\n";
        if (!watch) {
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\nConnection: close\r\n\r\n"
                    + list));
            return;
        }
        watches.add(socket);
        out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        out.write(bytes(chunk(list)));
        while (true) {
            Thread.sleep(EMPTY_LINE_MILLIS);
            out.write(bytes(chunk("\n")));
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
