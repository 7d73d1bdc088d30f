package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some hundred clients begin a request with a head of many short fields, stop in the middle of it and stay. The sidecar
 * must not end, whatever they send.
 */
final class CrashesOnUnfinishedHeads {
    private static final int SOCKETS = 1_024;
    private static final int DRAIN_GRACE_MILLIS = 1_000;
    private static final int CLIENTS = 8;
    private static final long REST_MILLIS = 20;
    private static final int ENDPOINTS = 4;
    private static final int SERVICE_MILLIS = 100;

    /** Fewer than the sidecar has descriptors for, so that none has to leave for another. */
    private static final int BAD_CLIENTS = 450;
    /** What each of them sends of a head. The sidecar takes heads of up to 8 KiB. */
    private static final int HEAD_BYTES = 7_800;

    private static final String SHORT_FIELD = "a:1\r\n";
    /** Bad clients are owed an error or the end of their connection within 3 s. */
    private static final int OWED_MILLIS = 3_000;

    private static final int WAVES = 3;
    private static final long WAVE_INTERVAL_MILLIS = 2_000;
    private static final long SETTLE_MILLIS = 2_000;

    private static final Traffic.Kind CHARGE = new Traffic.Kind(Settings.POST_CHARGE, 1_500);
    private static final Traffic.Kind QUOTE = new Traffic.Kind(Settings.QUOTE, 750);

    private final Record record;
    private final boolean trouble;
    private final Map<String, AtomicInteger> badEnds = new ConcurrentSkipListMap<>();

    private CrashesOnUnfinishedHeads(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Plays the case. Returns whether the rule held. */
    static boolean run(Path root, Path folder, Record record, boolean trouble) throws Exception {
        return new CrashesOnUnfinishedHeads(record, trouble).run(root, folder);
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
            Traffic traffic =
                    new Traffic(sidecar, record, List.of(CHARGE, QUOTE), CLIENTS, REST_MILLIS, (kind, id, end) -> {});
            Thread.sleep(SETTLE_MILLIS);
            int answered = traffic.answered();
            for (int i = 0; i < WAVES && sidecar.isAlive(); i++) {
                sendWave(sidecar);
                Thread.sleep(WAVE_INTERVAL_MILLIS);
            }
            record.say("requests of the clients that follow the protocol: %s", traffic.end());
            record.say("connections of the others: %s", badEnds);
            if (answered == 0) {
                throw new IOException("no verdict: nothing was answered before the first wave");
            }
            if (!sidecar.isAlive()) {
                record.say("BROKEN the sidecar has ended by itself with status %d: %s", sidecar.status(), sidecar.lastLogLine());
            }
            return sidecar.isAlive();
        }
    }

    private void serve(String name, Http.Message request, OutputStream out) throws IOException, InterruptedException {
        Thread.sleep(SERVICE_MILLIS);
        record.add("%s: ran %s %s", name, request.target(), request.field("X-Trace-Id"));
        out.write(Http.response(200, "", "done"));
    }

    /** Without the trouble the same clients send whole requests, with ordinary heads. */
    private void sendWave(Sidecar sidecar) throws InterruptedException {
        record.add("%d clients send %s", BAD_CLIENTS, trouble ? "a head without end" : "a request each");
        CountDownLatch ended = new CountDownLatch(BAD_CLIENTS);
        for (int i = 0; i < BAD_CLIENTS; i++) {
            String request = trouble
                    ? "GET /quote HTTP/1.1\r\nHost: origin.svc\r\n" + SHORT_FIELD.repeat(HEAD_BYTES / SHORT_FIELD.length())
                    : Client.request(Settings.QUOTE, "b" + System.nanoTime() + "-" + i, QUOTE.waitMillis(), "");
            Threads.start("bad client", () -> {
                try (Socket socket = sidecar.connect()) {
                    socket.setSoTimeout(OWED_MILLIS);
                    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                    Http.Message got = Http.read(new BufferedInputStream(socket.getInputStream()));
                    count(got == null ? "closed" : "answered " + got.status());
                } catch (IOException e) {
                    count(e.getMessage());
                } finally {
                    ended.countDown();
                }
            });
        }
        ended.await();
    }

    private void count(String end) {
        badEnds.computeIfAbsent(end, e -> new AtomicInteger()).incrementAndGet();
    }
}
