import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for discovery whose list never changes: the whole list on each call, and watches that stay open. */
final class Discovery implements AutoCloseable {
    private static final long EMPTY_LINE_MILLIS = 2_000;

    private final Recorder recorder;
    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final Map<Integer, String> entries = new TreeMap<>();

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
    String list() {
        return "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + String.join(",", entries.values()) + "]}";
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
        }
    }

    private void respond(Socket socket, String requestLine) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        boolean watch = requestLine.contains("stream=1");
        recorder.add("discovery: %s -> 200, the whole list", requestLine);
        String list = list() + "\n";
        if (!watch) {
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\nConnection: close\r\n\r\n"
                    + list));
            return;
        }
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
