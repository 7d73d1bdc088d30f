package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The open watch falls silent, new calls fail because discovery has too many callers, and an endpoint that goes on
 * answering begins to drain. What the silent watch misses counts as told 6 s after it fell silent, so the endpoint must
 * get nothing new once the grace after that is over.
 */
final class SendsToDrained {
    private static final int DRAIN_GRACE_MILLIS = 1_000;
    /** A change counts as told this long after discovery had it. */
    private static final int TOLD_AFTER_MILLIS = 6_000;
    /** The slack of each time limit on sockets. */
    private static final int SLACK_MILLIS = 50;
    /** For the threads of the stand-ins, which see a request a little after it was sent. */
    private static final int MACHINE_MILLIS = 50;

    private static final int SOCKETS = 256;
    private static final int CLIENTS = 8;
    private static final long REST_MILLIS = 60;
    private static final int ENDPOINTS = 3;
    private static final int SERVICE_MILLIS = 20;
    private static final long SETTLE_MILLIS = 3_000;
    private static final long SILENT_BEFORE_DRAIN_MILLIS = 500;
    /** How long the drained endpoint is watched after its grace. */
    private static final long WATCHED_MILLIS = 10_000;

    private static final Traffic.Kind QUOTE = new Traffic.Kind(Settings.QUOTE, 750);

    private final Record record;
    private final boolean trouble;
    /** When requests reached each endpoint. */
    private final Map<String, Queue<Double>> arrivals = new TreeMap<>();
    private SendsToDrained(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Plays the case. Returns whether the rule held. */
    static boolean run(Path root, Path folder, Record record, boolean trouble) throws Exception {
        return new SendsToDrained(record, trouble).run(root, folder);
    }

    private boolean run(Path root, Path folder) throws Exception {
        for (int i = 1; i <= ENDPOINTS; i++) {
            arrivals.put("s-" + i, new ConcurrentLinkedQueue<>());
        }
        try (Discovery discovery = new Discovery(record);
                Proxy link = new Proxy(discovery.port());
                Sidecar sidecar = new Sidecar(root, folder)) {
            Endpoint drained = null;
            for (String name : arrivals.keySet()) {
                drained = new Endpoint(name, (request, arrivedAt, socket, out) -> serve(name, request, arrivedAt, out));
                discovery.add(drained);
            }
            sidecar.configure(Settings.configuration(
                    sidecar.port, link.port(), SOCKETS, discovery.list(), DRAIN_GRACE_MILLIS, List.of(Settings.QUOTE)));
            sidecar.start();
            record.say("the sidecar is ready");
            Traffic traffic =
                    new Traffic(sidecar, record, List.of(QUOTE), CLIENTS, REST_MILLIS, (kind, id, result) -> {});
            Thread.sleep(SETTLE_MILLIS);
            double toldAt = drain(discovery, link, drained);
            double latest = toldAt + DRAIN_GRACE_MILLIS + SLACK_MILLIS + MACHINE_MILLIS;
            record.say("%s counts as told to drain at %.1f: nothing new from %.1f on", drained.name, toldAt, latest);
            Threads.sleepUntil(latest + WATCHED_MILLIS);
            record.say("requests: %s", traffic.end());
            if (!sidecar.isAlive()) {
                throw new IOException("no verdict: the sidecar has ended");
            }
            return judge(drained.name, latest);
        }
    }

    /** Lets the endpoint drain. Returns by when that counts as told. */
    private double drain(Discovery discovery, Proxy link, Endpoint drained) throws InterruptedException {
        if (trouble) {
            record.add("link: the open watch falls silent");
            link.silenceOpenConnections();
            discovery.setCrowded();
        }
        Thread.sleep(SILENT_BEFORE_DRAIN_MILLIS);
        discovery.setStatus(drained, "leaving");
        // Counted from the change, which is a little later than from the silence.
        return Record.now() + (trouble ? TOLD_AFTER_MILLIS : 0);
    }

    private boolean judge(String drained, double latest) throws IOException {
        for (Map.Entry<String, Queue<Double>> each : arrivals.entrySet()) {
            record.say("%s got %d requests", each.getKey(), each.getValue().size());
            if (each.getValue().isEmpty()) {
                throw new IOException("no verdict: an endpoint got nothing at all");
            }
        }
        List<String> breaks = arrivals.get(drained).stream()
                .filter(each -> each > latest)
                .map(each -> String.format("%s was sent to %.1f ms after its grace", drained, each - latest))
                .toList();
        record.sayBreaks(breaks);
        return breaks.isEmpty();
    }

    private void serve(String name, Http.Message request, double arrivedAt, OutputStream out)
            throws IOException, InterruptedException {
        arrivals.get(name).add(arrivedAt);
        record.addAt(arrivedAt, "%s: runs %s %s", name, request.target(), request.field("X-Trace-Id"));
        Thread.sleep(SERVICE_MILLIS);
        out.write(Http.response(200, "", "done"));
    }
}
