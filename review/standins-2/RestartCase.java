import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Planned restarts of a sidecar whose clients send many requests at once on each of their connections. */
final class RestartCase implements CaseMain.Case {
    private static final int RESTARTS = 4;
    private static final int CONNECTIONS = 40;
    private static final int REQUESTS_AT_ONCE = 20;
    private static final int WORK_MILLIS = 20;
    private static final int WAIT_MILLIS = 1_500;
    private static final int LOAD_MILLIS = 2_000;
    /** How long after SIGTERM clients open connections; 0.2 to 0.4 s on the pages. */
    private static final int NEW_CONNECTIONS_MILLIS = 300;
    /** The longest deadline is 3 s; SIGKILL comes no sooner than 0.7 s after that. */
    private static final int KILL_MILLIS = 3_700;
    /**
     * Requests that were written at least so long before their connection ended did not cross its end, if the first of
     * them have been answered: all of them were written at once, and on loopback they are there within a millisecond.
     */
    private static final int CROSSING_MILLIS = 50;

    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger nextId = new AtomicInteger();
    private volatile boolean stopped;
    private volatile double noNewConnectionsAt;

    @Override
    public boolean holds(Recorder recorder, Path folder, boolean trouble) throws Exception {
        Endpoint.Handler handler = (Endpoint endpoint, Request request, OutputStream out) -> {
            recorder.add(endpoint.name + " runs " + request.traceId());
            Thread.sleep(WORK_MILLIS);
            Answers.ok(out, "done " + request.traceId());
        };
        try (Discovery discovery = new Discovery(recorder)) {
            for (int i = 0; i < 3; i++) {
                discovery.add(Endpoint.start("s-" + i, handler));
            }
            for (int i = 0; i < RESTARTS; i++) {
                restart(recorder, folder, discovery, trouble);
            }
        }
        recorder.add("requests that were read and never answered: " + lost.get());
        return lost.get() == 0;
    }

    private void restart(Recorder recorder, Path folder, Discovery discovery, boolean trouble) throws Exception {
        String settings = Settings.with(250, Settings.QUOTE, Settings.POST_CHARGE);
        stopped = false;
        noNewConnectionsAt = Double.MAX_VALUE;
        try (Sidecar sidecar = new Sidecar(folder, discovery.port(), settings, discovery.list())) {
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                clients.add(Threads.start("client", () -> useConnections(sidecar, recorder)));
            }
            Thread.sleep(LOAD_MILLIS);
            if (trouble) {
                recorder.add("SIGTERM");
                noNewConnectionsAt = recorder.now() + NEW_CONNECTIONS_MILLIS;
                sidecar.signal("TERM");
                boolean ended = sidecar.endsWithin(KILL_MILLIS);
                recorder.add(ended ? "the sidecar has ended" : "SIGKILL follows");
            } else {
                Thread.sleep(KILL_MILLIS);
            }
            stopped = true;
            for (Thread each : clients) {
                each.join(TimeUnit.SECONDS.toMillis(10));
            }
        }
    }

    /** Opens connections and uses each for as long as it stays open. After SIGTERM new ones come for a while only. */
    private void useConnections(Sidecar sidecar, Recorder recorder) throws Exception {
        while (!stopped && recorder.now() < noNewConnectionsAt) {
            try (Client client = new Client(sidecar.port)) {
                boolean open = true;
                while (open && !stopped) {
                    open = exchange(client, recorder);
                }
            } catch (IOException e) {
                recorder.add("client: " + e.getMessage());
            }
        }
    }

    /** Sends a bunch of requests at once and reads the answers. Returns whether the connection stays open. */
    private boolean exchange(Client client, Recorder recorder) throws IOException {
        Deque<String> unanswered = new ArrayDeque<>();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            String id = "t-" + nextId.incrementAndGet();
            unanswered.add(id);
            requests.append(Client.request("GET", "/quote?k=" + id, "quote", id, WAIT_MILLIS, ""));
        }
        double sentAt = recorder.now();
        client.write(requests.toString());
        recorder.add("client sent at once " + unanswered.peekFirst() + " to " + unanswered.peekLast());
        boolean keepsOpen = false;
        try {
            keepsOpen = readAnswers(client, unanswered, recorder);
        } finally {
            if (!unanswered.isEmpty()) {
                double openFor = recorder.now() - sentAt;
                boolean wereRead = openFor >= CROSSING_MILLIS && unanswered.size() < REQUESTS_AT_ONCE;
                recorder.add(String.format("a connection ended %.0f ms after its requests were sent; %s: %s",
                        openFor, wereRead ? "read and never answered" : "may have crossed its end", unanswered));
                lost.addAndGet(wereRead ? unanswered.size() : 0);
            }
        }
        return keepsOpen;
    }

    /** Reads the answers to the requests. Returns whether the connection stays open after the last of them. */
    private static boolean readAnswers(Client client, Deque<String> unanswered, Recorder recorder)
            throws IOException {
        while (true) {
            Request answer = client.read(10_000);
            if (answer == null) {
                return false;
            }
            recorder.add("client got " + answer.startLine() + " for " + unanswered.removeFirst());
            if (unanswered.isEmpty()) {
                return !"close".equalsIgnoreCase(answer.fields().get("connection"));
            }
        }
    }
}
