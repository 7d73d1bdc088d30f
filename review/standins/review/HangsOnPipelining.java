package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Some clients send many commands at once, in pieces: a long one, and short ones behind it. The requests of the other
 * clients, which follow the protocol, must get their final answers.
 */
final class HangsOnPipelining {
    private static final int SOCKETS = 1_024;
    private static final int DRAIN_GRACE_MILLIS = 1_000;
    private static final int CLIENTS = 8;
    private static final long REST_MILLIS = 20;
    private static final int ENDPOINTS = 4;
    private static final int SERVICE_MILLIS = 120;

    private static final int PIPELINING_CLIENTS = 32;
    private static final int LONG_BODY = 40_000;
    /** Each client sends some groups of commands: a long one, and short ones behind it. */
    private static final int GROUPS = 3;

    private static final int SHORT_COMMANDS = 8;
    private static final int COMMANDS = GROUPS * (1 + SHORT_COMMANDS);
    private static final long PIECE_INTERVAL_MILLIS = 5;
    private static final int WAVES = 2;
    private static final long WAVE_INTERVAL_MILLIS = 8_000;
    private static final long SETTLE_MILLIS = 2_000;
    private static final int PIPELINING_TIMEOUT_MILLIS = 6_000;

    private static final Traffic.Kind CHARGE = new Traffic.Kind(Settings.POST_CHARGE, 1_500);
    private static final Traffic.Kind QUOTE = new Traffic.Kind(Settings.QUOTE, 750);

    private final Record record;
    private final boolean trouble;
    private final Queue<String> breaks = new ConcurrentLinkedQueue<>();
    private final AtomicLong nextId = new AtomicLong();
    private final Map<String, AtomicInteger> pipelinedEnds = new ConcurrentSkipListMap<>();

    private HangsOnPipelining(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Plays the case. Returns whether the rule held. */
    static boolean run(Path root, Path folder, Record record, boolean trouble) throws Exception {
        return new HangsOnPipelining(record, trouble).run(root, folder);
    }

    private boolean run(Path root, Path folder) throws Exception {
        try (Discovery discovery = new Discovery(record);
                Sidecar sidecar = new Sidecar(root, folder)) {
            for (int i = 1; i <= ENDPOINTS; i++) {
                String name = "s-" + i;
                discovery.add(new Endpoint(name, (request, arrivedAt, socket, out) -> serve(name, request, out)));
            }
            sidecar.configure(Settings.configuration(
                    sidecar.port,
                    discovery.port(),
                    SOCKETS,
                    discovery.list(),
                    DRAIN_GRACE_MILLIS,
                    List.of(Settings.POST_CHARGE, Settings.QUOTE)));
            sidecar.start();
            record.say("the sidecar is ready");
            Traffic traffic = new Traffic(sidecar, record, List.of(CHARGE, QUOTE), CLIENTS, REST_MILLIS, this::judge);
            Thread.sleep(SETTLE_MILLIS);
            for (int i = 0; i < WAVES; i++) {
                sendWave(sidecar);
                Thread.sleep(WAVE_INTERVAL_MILLIS);
            }
            int answered = traffic.answered();
            record.say("requests of the clients that follow the protocol: %s", traffic.end());
            record.say("requests of the others: %s", pipelinedEnds);
            record.sayBreaks(breaks);
            if (answered == 0 || !sidecar.isAlive()) {
                throw new IOException("no verdict: " + answered + " answers, alive " + sidecar.isAlive());
            }
        }
        return breaks.isEmpty();
    }

    private void serve(String name, Http.Message request, OutputStream out) throws IOException, InterruptedException {
        Thread.sleep(SERVICE_MILLIS);
        record.add("%s: ran %s %s", name, request.target(), request.field("X-Trace-Id"));
        out.write(Http.response(200, "", "done"));
    }

    /** Without the trouble the same clients send the same commands one at a time. */
    private void sendWave(Sidecar sidecar) throws InterruptedException {
        record.add("%d clients send %d commands each", PIPELINING_CLIENTS, COMMANDS);
        CountDownLatch ended = new CountDownLatch(PIPELINING_CLIENTS);
        for (int i = 0; i < PIPELINING_CLIENTS; i++) {
            Threads.start("pipelining client", () -> {
                try {
                    if (trouble) {
                        sendAtOnce(sidecar);
                    } else {
                        sendOneByOne(sidecar);
                    }
                } finally {
                    ended.countDown();
                }
            });
        }
        ended.await();
    }

    private void sendAtOnce(Sidecar sidecar) throws IOException, InterruptedException {
        int answers = 0;
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(PIPELINING_TIMEOUT_MILLIS);
            for (int i = 0; i < COMMANDS; i++) {
                socket.getOutputStream().write(command(i).getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(PIECE_INTERVAL_MILLIS);
            }
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (boolean open = true; open && answers < COMMANDS; ) {
                Http.Message got = Http.read(in);
                open = got != null && !got.closes();
                answers += got != null ? 1 : 0;
                count(got == null ? "closed" : "answered " + got.status());
            }
        } finally {
            record.add("pipelining client: %d of %d commands were answered", answers, COMMANDS);
        }
    }

    private void sendOneByOne(Sidecar sidecar) throws IOException {
        try (Client client = new Client(sidecar)) {
            for (int i = 0; i < COMMANDS; i++) {
                count(client.exchange(command(i), PIPELINING_TIMEOUT_MILLIS).summary());
            }
        }
    }

    private String command(int number) {
        String id = String.format("p%08x", nextId.incrementAndGet());
        String body = number % (1 + SHORT_COMMANDS) == 0 ? "y".repeat(LONG_BODY) : "amount=1";
        return Client.request(Settings.POST_CHARGE, id, CHARGE.waitMillis(), body);
    }

    private void count(String end) {
        pipelinedEnds.computeIfAbsent(end, e -> new AtomicInteger()).incrementAndGet();
    }

    private void judge(Traffic.Kind kind, String id, Client.Result result) {
        if (result.end() == Client.End.SILENT) {
            breaks.add(String.format(
                    "%s %s had no answer %.0f ms after it was sent with X-Expires-In %d",
                    kind.profile().name(), id, result.endedAt() - result.sentAt(), kind.waitMillis()));
        }
    }
}
