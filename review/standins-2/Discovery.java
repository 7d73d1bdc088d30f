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
 * A stand-in for discovery. A watch gets the whole list first, then each change, and an empty line each
 * second.
 */
final class Discovery implements AutoCloseable {
    private static final long EMPTY_LINE_MILLIS = 1_000;

    private final ServerSocket listener;
    private final Recorder recorder;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version = 10;

    Discovery(Recorder recorder) throws IOException {
        this.recorder = recorder;
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        Threads.start("discovery", () -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                Threads.start("watch", () -> answer(socket));
            }
        });
        Threads.start("empty-lines", () -> {
            while (!listener.isClosed()) {
                Thread.sleep(EMPTY_LINE_MILLIS);
                broadcast("\n");
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    private void answer(Socket socket) throws Exception {
        Request request = Request.read(new BufferedInputStream(socket.getInputStream()));
        if (request == null) {
            socket.close();
            return;
        }
        synchronized (this) {
            recorder.add("discovery opened a watch and wrote the whole list: " + entries.keySet());
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
            writeChunk(socket, message(true, entries.values()));
            watches.add(socket);
        }
    }

    private String message(boolean snapshot, Iterable<String> list) {
        return "{\"index\":" + version + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", list)
                + "]}\n";
    }

    private static void writeChunk(Socket socket, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        OutputStream out = socket.getOutputStream();
        out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private synchronized void broadcast(String text) {
        watches.removeIf(watch -> {
            try {
                writeChunk(watch, text);
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    /** Lists an endpoint as active, and tells all watches. */
    synchronized void add(Endpoint endpoint) {
        entries.put(endpoint.name, endpoint.entry("active"));
        version++;
        recorder.add("discovery has " + endpoint.name + " as active, watches told: " + watches.size());
        broadcast(message(false, List.of(endpoint.entry("active"))));
    }

    /** Takes an endpoint out of the list, and tells all watches. */
    synchronized void remove(Endpoint endpoint) {
        entries.remove(endpoint.name);
        version++;
        recorder.add("discovery has " + endpoint.name + " as left, watches told: " + watches.size());
        broadcast(message(false, List.of(endpoint.entry("left"))));
    }

    synchronized String list() {
        return "[" + String.join(",", entries.values()) + "]";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
