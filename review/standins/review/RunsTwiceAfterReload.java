package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * New configurations add and drop a class, while idle clients fill the descriptors and some answers of endpoints get
 * lost. A transaction that must never run twice must be executed once at most, and must not be refused once it has run.
 */
final class RunsTwiceAfterReload {
    private static final int SOCKETS = 256;
    private static final int DRAIN_GRACE_MILLIS = 1_000;
    private static final int CLIENTS = 40;
    private static final long REST_MILLIS = 5;
    /** More than the descriptors that a sidecar with these limits has for its clients. */
    private static final int IDLE_CLIENTS = 150;

    private static final int ENDPOINTS = 4;
    private static final int SERVICE_MILLIS = 30;
    /** Three of the four endpoints lose this share of their answers by a reset, after the work was done. */
    private static final double LOST_ANSWERS = 0.3;

    private static final int RELOADS = 24;
    private static final long RELOAD_INTERVAL_MILLIS = 1_000;
    private static final long SETTLE_MILLIS = 2_000;
    private static final int ENOUGH_BREAKS = 5;
    private static final int MIN_ANSWERS = 1_000;

    private static final Settings.Profile ADDED = new Settings.Profile("rate-card", "repeatable", 500, 1_500, 2);
    private static final Traffic.Kind CHARGE = new Traffic.Kind(Settings.POST_CHARGE, 1_500);
    private static final Traffic.Kind QUOTE = new Traffic.Kind(Settings.QUOTE, 750);

    private final Record record;
    private final boolean trouble;
    /** The executions of each request, by its id. */
    private final Map<String, Queue<String>> executions = new ConcurrentHashMap<>();

    private final Queue<String> breaks = new ConcurrentLinkedQueue<>();
    private final Queue<String> unanswered = new ConcurrentLinkedQueue<>();
    private volatile boolean running = true;

    private RunsTwiceAfterReload(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Plays the case. Returns whether the rule held. */
    static boolean run(Path root, Path folder, Record record, boolean trouble) throws Exception {
        return new RunsTwiceAfterReload(record, trouble).run(root, folder);
    }

    private boolean run(Path root, Path folder) throws Exception {
        try (Discovery discovery = new Discovery(record);
                Sidecar sidecar = new Sidecar(root, folder)) {
            for (int i = 1; i <= ENDPOINTS; i++) {
                String name = "s-" + i;
                double lostAnswers = i == 1 ? 0 : LOST_ANSWERS;
                discovery.add(new Endpoint(
                        name, (request, arrivedAt, socket, out) -> serve(name, lostAnswers, request, socket, out)));
            }
            String before = configuration(sidecar, discovery, List.of(Settings.POST_CHARGE, Settings.QUOTE));
            String after = configuration(sidecar, discovery, List.of(ADDED, Settings.POST_CHARGE, Settings.QUOTE));
            sidecar.configure(before);
            sidecar.start();
            record.say("the sidecar is ready");
            Threads.start("idle clients", () -> holdIdleConnections(sidecar));
            Traffic traffic =
                    new Traffic(sidecar, record, List.of(CHARGE, QUOTE, CHARGE), CLIENTS, REST_MILLIS, this::judge);
            Thread.sleep(SETTLE_MILLIS);
            for (int i = 0; i < RELOADS && breaks.size() < ENOUGH_BREAKS; i++) {
                if (trouble) {
                    reload(sidecar, i % 2 == 0 ? after : before, i % 2 == 0 ? "added" : "dropped");
                }
                Thread.sleep(RELOAD_INTERVAL_MILLIS);
            }
            int answered = traffic.answered();
            running = false;
            record.say("requests: %s", traffic.end());
            record.say("never answered, which is not judged here: %d", unanswered.size());
            record.sayBreaks(breaks);
            if (answered < MIN_ANSWERS || !sidecar.isAlive()) {
                throw new IOException("no verdict: " + answered + " answers, alive " + sidecar.isAlive());
            }
        }
        return breaks.isEmpty();
    }

    private void reload(Sidecar sidecar, String configuration, String change) throws IOException, InterruptedException {
        sidecar.configure(configuration);
        record.add("platform: SIGHUP, class rate-card is %s", change);
        sidecar.signal("HUP");
    }

    private static String configuration(Sidecar sidecar, Discovery discovery, List<Settings.Profile> profiles) {
        return Settings.configuration(
                sidecar.port, discovery.port(), SOCKETS, discovery.list(), DRAIN_GRACE_MILLIS, profiles);
    }

    private void serve(String name, double lostAnswers, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.field("X-Trace-Id");
        Thread.sleep(SERVICE_MILLIS);
        boolean lost = Math.random() < lostAnswers;
        executions
                .computeIfAbsent(id, i -> new ConcurrentLinkedQueue<>())
                .add(String.format("%s at %.1f", name, Record.now()));
        record.add("%s: ran %s %s%s", name, request.target(), id, lost ? ", its answer is lost" : "");
        if (lost) {
            Endpoint.reset(socket);
        } else {
            out.write(Http.response(200, "", "done " + id));
        }
    }

    /** Idle clients hold connections on which they send nothing, and come again when these are closed. */
    private void holdIdleConnections(Sidecar sidecar) throws InterruptedException {
        List<Socket> idle = new ArrayList<>();
        while (running) {
            idle.removeIf(RunsTwiceAfterReload::hasEnded);
            try {
                while (idle.size() < IDLE_CLIENTS) {
                    Socket socket = sidecar.connect();
                    socket.setSoTimeout(1);
                    idle.add(socket);
                }
            } catch (IOException e) {
                // The sidecar takes nobody now. Tried again below.
            }
            Thread.sleep(50);
        }
        idle.forEach(RunsTwiceAfterReload::close);
    }

    private static boolean hasEnded(Socket socket) {
        try {
            if (socket.getInputStream().read() >= 0) {
                return false;
            }
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            // A reset is an end as well.
        }
        close(socket);
        return true;
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is closed nevertheless.
        }
    }

    private void judge(Traffic.Kind kind, String id, Client.Result result) {
        if (result.end() == Client.End.SILENT) {
            unanswered.add(id);
        }
        Queue<String> runs = executions.getOrDefault(id, new ConcurrentLinkedQueue<>());
        boolean refused = result.status() == 503 || result.status() == 429;
        if (kind == CHARGE && runs.size() > 1) {
            breaks.add(String.format("%s must never run twice and ran at %s (%s)", id, runs, result.summary()));
        } else if (kind == CHARGE && !runs.isEmpty() && refused) {
            breaks.add(String.format("%s ran at %s and was then refused (%s)", id, runs, result.summary()));
        }
    }
}
