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

/**
 * A fake discovery service: a list of servers, and watches that notify sidecars of its changes. Each sidecar connects
 * through its own two fault proxies.
 */
final class FakeDiscovery implements AutoCloseable {
    private static final int FIRST_INDEX = 1;
    private static final long KEEPALIVE_MILLISECONDS = 2_000;
    private static final int OVERLOADED_DELAY_MILLISECONDS = 2_000;
    private static final int SLOW_DELAY_MILLISECONDS = 900;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** The entry of one server since the list with this index. */
    private record ListEntry(String name, int port, String zone, String status, long sinceMillis, int index) {
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
                    .put("since_ms", sinceMillis);
        }
    }

    private final BackgroundTasks background;
    private final EventRecorder recorder;
    private final Acceptor acceptor;
    private final Map<String, ListEntry> entries = new LinkedHashMap<>();
    /** Element i is the change with index i + 2, because the initial list has index 1. */
    private final List<ListEntry> changes = new ArrayList<>();

    private final Map<FaultProxy, String> proxies = new ConcurrentHashMap<>();
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    private volatile boolean overloaded;
    private volatile boolean slow;
    private volatile boolean down;

    FakeDiscovery(BackgroundTasks background, EventRecorder recorder) throws IOException {
        this.background = background;
        this.recorder = recorder;
        acceptor = new Acceptor(background, "discovery", this::serve);
    }

    /** Opens a proxy for this sidecar. */
    FaultProxy openProxy(String sidecar) throws IOException {
        FaultProxy proxy = new FaultProxy(background, acceptor.port());
        proxies.put(proxy, sidecar);
        return proxy;
    }

    /** Adds an active server to the initial list; to be called before any sidecar is started. */
    synchronized void addServer(String server, int port, String zone) {
        entries.put(server, new ListEntry(server, port, zone, "active", 0, FIRST_INDEX));
    }

    /** The current list. */
    synchronized ObjectNode list() {
        ArrayNode jsonEntries = JsonNodeFactory.instance.arrayNode();
        entries.values().stream()
                .filter(entry -> !entry.status.equals("left"))
                .forEach(entry -> jsonEntries.add(entry.json()));
        return line(true, jsonEntries);
    }

    /** The index of the current list. */
    private synchronized int index() {
        return changes.size() + FIRST_INDEX;
    }

    private ObjectNode line(boolean snapshot, ArrayNode jsonEntries) {
        ObjectNode line =
                JsonNodeFactory.instance.objectNode().put("index", index()).put("snapshot", snapshot);
        line.set("endpoints", jsonEntries);
        return line;
    }

    /** Changes the status of a server and notifies all watches. */
    synchronized void setStatus(String server, String status) {
        ListEntry entry = entries.get(server);
        long sinceMillis = status.equals("active") ? System.currentTimeMillis() : entry.sinceMillis;
        ListEntry changed = new ListEntry(server, entry.port, entry.zone, status, sinceMillis, index() + 1);
        entries.put(server, changed);
        changes.add(changed);
        recorder.add(
                status.equals("active")
                        ? new Event.ServerRestored(System.nanoTime(), server)
                        : new Event.ServerRemoved(System.nanoTime(), server, changed.index));
        notifyAll();
    }

    /** Whether the status of this server is active. */
    synchronized boolean isActive(String server) {
        return entries.get(server).status.equals("active");
    }

    /** Sets whether each call is rejected after two seconds. */
    void setOverloaded(boolean on) {
        overloaded = on;
    }

    /** Sets whether responses to calls are delayed. */
    void setSlow(boolean on) {
        slow = on;
    }

    /** Sets whether discovery is unreachable. Open connections are reset when it becomes so. */
    void setDown(boolean on) throws IOException {
        if (on == down) {
            return;
        }
        down = on;
        recorder.add(on ? new Event.DiscoveryDown(System.nanoTime()) : new Event.DiscoveryUp(System.nanoTime()));
        for (FaultProxy proxy : proxies.keySet()) {
            proxy.setRefusing(on);
        }
        if (on) {
            proxies.keySet().forEach(FaultProxy::resetAll);
        }
    }

    /** Holds back everything that discovery sends until this time, in nanoseconds of the monotonic clock. */
    void silenceUntil(long until) {
        proxies.keySet().forEach(proxy -> proxy.hold(false, true, until));
    }

    /** Resets all open watches. Calls are not affected. */
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
                if (overloaded) {
                    Thread.sleep(OVERLOADED_DELAY_MILLISECONDS);
                    socket.getOutputStream().write(HttpMessage.response(503, "", ""));
                } else {
                    Thread.sleep(slow ? SLOW_DELAY_MILLISECONDS : 0);
                    respond(socket, request);
                }
            }
        } finally {
            watches.remove(socket);
        }
    }

    private void respond(Socket socket, HttpMessage request) throws IOException, InterruptedException {
        if (request.firstLine().contains("stream=1")) {
            String index = request.firstLine().replaceAll(".*index=([0-9]*).*", "$1");
            watches.add(socket);
            watch(socket, index.isEmpty() ? 0 : Integer.parseInt(index));
        } else {
            String list = list().toString();
            recordNotifications(socket, changesAfter(0));
            socket.getOutputStream().write(HttpMessage.response(200, "", list));
        }
    }

    /** Sends the changes after the list with this index, as they come, until the connection breaks. */
    private void watch(Socket socket, int index) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        out.write(HEAD.getBytes(StandardCharsets.ISO_8859_1));
        int lastIndex = Math.max(1, index);
        while (true) {
            List<ListEntry> pending = changesAfter(lastIndex);
            lastIndex += pending.size();
            String line = "";
            if (!pending.isEmpty()) {
                ArrayNode jsonEntries = JsonNodeFactory.instance.arrayNode();
                pending.forEach(entry -> jsonEntries.add(entry.json()));
                line = JsonNodeFactory.instance
                        .objectNode()
                        .put("index", lastIndex)
                        .put("snapshot", false)
                        .set("endpoints", jsonEntries)
                        .toString();
            }
            line += "\n";
            out.write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes(StandardCharsets.UTF_8));
            recordNotifications(socket, pending);
            awaitChange(lastIndex);
        }
    }

    private synchronized List<ListEntry> changesAfter(int lastIndex) {
        return new ArrayList<>(changes.subList(Math.min(changes.size(), Math.max(0, lastIndex - 1)), changes.size()));
    }

    private synchronized void awaitChange(int lastIndex) throws InterruptedException {
        long end = System.nanoTime() + KEEPALIVE_MILLISECONDS * 1_000_000;
        long remaining = KEEPALIVE_MILLISECONDS;
        while (changes.size() + 1 <= lastIndex && remaining > 0) {
            wait(remaining);
            remaining = (end - System.nanoTime()) / 1_000_000;
        }
    }

    /** Records the removals that were written to a sidecar through an open link that holds nothing back. */
    private void recordNotifications(Socket socket, List<ListEntry> pending) {
        for (Map.Entry<FaultProxy, String> each : proxies.entrySet()) {
            FaultProxy.Link link = each.getKey().link(socket.getPort());
            if (link != null && !link.closed() && !each.getKey().holdsResponses()) {
                pending.stream()
                        .filter(entry -> !entry.status.equals("active"))
                        .forEach(entry -> recorder.add(new Event.RemovalNotified(
                                System.nanoTime(), each.getValue(), entry.name, entry.index)));
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (FaultProxy proxy : proxies.keySet()) {
            proxy.close();
        }
        acceptor.close();
    }
}
