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
 * A stand-in for discovery. A watch gets the whole list first, then each change, and an empty line each second. While
 * discovery has too many callers, each call ends with 503.
 */
final class Discovery implements AutoCloseable {
    private static final long EMPTY_LINE_MILLIS = 1_000;

    private final ServerSocket listener;
    private final Recorder recorder;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version = 10;
    private boolean crowded;

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
            if (crowded) {
                recorder.add("discovery answered 503");
                Answers.write(socket.getOutputStream(), "503 Too Many Callers", "Connection: close\r\n", "");
                socket.close();
                return;
            }
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

    /** Ends all watches with a reset; from now on each call ends with 503. */
    synchronized void becomeCrowded() throws IOException {
        crowded = true;
        recorder.add("discovery resets all watches; it has too many callers from now on");
        for (Socket each : watches) {
            each.setSoLinger(true, 0);
            each.close();
        }
        watches.clear();
    }

    /** Serves each call again. */
    synchronized void recover() {
        crowded = false;
        recorder.add("discovery serves its callers again");
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
