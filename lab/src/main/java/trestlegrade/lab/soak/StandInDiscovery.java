package trestlegrade.lab.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery: a list of servers, and watches that tell its changes. Each sidecar comes by two relays of its own. */
final class StandInDiscovery implements AutoCloseable {
    private static final int FIRST_INDEX = 1;
    private static final long BEAT_MILLISECONDS = 2_000;
    private static final int CROWDED_MILLISECONDS = 2_000;
    private static final int SLOW_MILLISECONDS = 900;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** What is listed of one server since the list with this index. */
    private record Row(String name, int port, String zone, String status, long since, int index) {
        ObjectNode json() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("name", name)
                    .put("address", "127.0.0.1:" + port)
                    .put("zone", zone)
                    .put("type", "m1")
                    .put("group", 0)
                    .put("status", status)
                    .put("weight", 1.0)
                    .put("since_ms", since);
        }
    }

    private final BackgroundTasks background;
    private final EventRecorder recorder;
    private final Acceptor acceptor;
    private final Map<String, Row> rows = new LinkedHashMap<>();
    /** The change with index i + 2; the list begins with index 1. */
    private final List<Row> changes = new ArrayList<>();

    private final Map<FaultProxy, String> relays = new ConcurrentHashMap<>();
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    private volatile boolean crowded;
    private volatile boolean slow;
    private volatile boolean down;

    StandInDiscovery(BackgroundTasks background, EventRecorder recorder) throws IOException {
        this.background = background;
        this.recorder = recorder;
        acceptor = new Acceptor(background, "discovery", this::serve);
    }

    /** A relay by which this sidecar comes. */
    FaultProxy relay(String sidecar) throws IOException {
        FaultProxy relay = new FaultProxy(background, acceptor.port());
        relays.put(relay, sidecar);
        return relay;
    }

    /** Lists a server, as active, before any sidecar has started. */
    synchronized void first(String server, int port, String zone) {
        rows.put(server, new Row(server, port, zone, "active", 0, FIRST_INDEX));
    }

    /** The list of now. */
    synchronized ObjectNode list() {
        ArrayNode entries = JsonNodeFactory.instance.arrayNode();
        rows.values().stream().filter(row -> !row.status.equals("left")).forEach(row -> entries.add(row.json()));
        return line(true, entries);
    }

    /** Of the list of now. */
    private synchronized int index() {
        return changes.size() + FIRST_INDEX;
    }

    private ObjectNode line(boolean whole, ArrayNode entries) {
        ObjectNode line =
                JsonNodeFactory.instance.objectNode().put("index", index()).put("snapshot", whole);
        line.set("endpoints", entries);
        return line;
    }

    /** Changes the status of a listed server, and sends that to all watches. */
    synchronized void change(String server, String status) {
        Row row = rows.get(server);
        long since = status.equals("active") ? System.currentTimeMillis() : row.since;
        Row changed = new Row(server, row.port, row.zone, status, since, index() + 1);
        rows.put(server, changed);
        changes.add(changed);
        recorder.add(
                status.equals("active")
                        ? new Event.ServerReturns(System.nanoTime(), server)
                        : new Event.ServerLeaves(System.nanoTime(), server, changed.index));
        notifyAll();
    }

    /** Whether the list has this server as active. */
    synchronized boolean active(String server) {
        return rows.get(server).status.equals("active");
    }

    /** Refuses each call after two seconds from now on, or no longer. */
    void crowded(boolean on) {
        crowded = on;
    }

    /** Answers each call late from now on, or no longer. */
    void slow(boolean on) {
        slow = on;
    }

    /** Cannot be reached from now on, and open watches are reset; or can be reached again. */
    void down(boolean on) throws IOException {
        if (on == down) {
            return;
        }
        down = on;
        recorder.add(on ? new Event.DiscoveryDown(System.nanoTime()) : new Event.DiscoveryUp(System.nanoTime()));
        for (FaultProxy relay : relays.keySet()) {
            relay.refuse(on);
        }
        if (on) {
            relays.keySet().forEach(FaultProxy::resetAll);
        }
    }

    /** Holds back what watches bring until this time, in nanoseconds of the monotonic clock. */
    void silent(long until) {
        relays.keySet().forEach(relay -> relay.hold(false, true, until));
    }

    /** Resets all open watches; calls are answered as before. */
    void resetWatches() throws IOException {
        for (Socket watch : watches) {
            watch.setSoLinger(true, 0);
            watch.close();
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try {
            HttpMessage.Reader reader = new HttpMessage.Reader(new BufferedInputStream(socket.getInputStream()));
            HttpMessage request;
            while ((request = reader.next()) != null) {
                if (crowded) {
                    Thread.sleep(CROWDED_MILLISECONDS);
                    socket.getOutputStream().write(HttpMessage.answer(503, "", ""));
                } else {
                    Thread.sleep(slow ? SLOW_MILLISECONDS : 0);
                    answer(socket, request);
                }
            }
        } finally {
            watches.remove(socket);
        }
    }

    private void answer(Socket socket, HttpMessage request) throws IOException, InterruptedException {
        if (request.firstLine().contains("stream=1")) {
            String index = request.firstLine().replaceAll(".*index=([0-9]*).*", "$1");
            watches.add(socket);
            watch(socket, index.isEmpty() ? 0 : Integer.parseInt(index));
        } else {
            String list = list().toString();
            tell(socket, rowsOf(0));
            socket.getOutputStream().write(HttpMessage.answer(200, "", list));
        }
    }

    /** Until the connection breaks. */
    private void watch(Socket socket, int from) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        out.write(HEAD.getBytes(StandardCharsets.ISO_8859_1));
        int told = Math.max(1, from);
        while (true) {
            List<Row> news = rowsOf(told);
            told += news.size();
            String line = "";
            if (!news.isEmpty()) {
                ArrayNode entries = JsonNodeFactory.instance.arrayNode();
                news.forEach(row -> entries.add(row.json()));
                line = JsonNodeFactory.instance
                        .objectNode()
                        .put("index", told)
                        .put("snapshot", false)
                        .set("endpoints", entries)
                        .toString();
            }
            line += "\n";
            out.write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes(StandardCharsets.UTF_8));
            tell(socket, news);
            await(told);
        }
    }

    private synchronized List<Row> rowsOf(int told) {
        return new ArrayList<>(changes.subList(Math.min(changes.size(), Math.max(0, told - 1)), changes.size()));
    }

    private synchronized void await(int told) throws InterruptedException {
        long end = System.nanoTime() + BEAT_MILLISECONDS * 1_000_000;
        long left = BEAT_MILLISECONDS;
        while (changes.size() + 1 <= told && left > 0) {
            wait(left);
            left = (end - System.nanoTime()) / 1_000_000;
        }
    }

    /** What was written over a relay that holds nothing back counts as told. */
    private void tell(Socket socket, List<Row> news) {
        for (Map.Entry<FaultProxy, String> each : relays.entrySet()) {
            FaultProxy.Link link = each.getKey().link(socket.getPort());
            if (link != null && !link.closed() && !each.getKey().holdsAnswers()) {
                news.stream()
                        .filter(row -> !row.status.equals("active"))
                        .forEach(row -> recorder.add(
                                new Event.LeaveTold(System.nanoTime(), each.getValue(), row.name, row.index)));
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (FaultProxy relay : relays.keySet()) {
            relay.close();
        }
        acceptor.close();
    }
}
