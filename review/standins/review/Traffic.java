package review;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that follow the protocol: each sends one request at a time, waits for its answer and rests for a while. */
final class Traffic {
    /** What the clients send: the requests of one profile, and how long each waits for its answer. */
    record Kind(Settings.Profile profile, int waitMillis) {}

    /** Is told of the end of each request. */
    interface Judge {
        void ended(Kind kind, String id, Client.Result result);
    }

    private final Sidecar sidecar;
    private final Record record;
    private final List<Kind> kinds;
    private final long restMillis;
    private final Judge judge;
    private final CountDownLatch ended;
    private final AtomicLong nextId = new AtomicLong();
    private final Map<String, AtomicInteger> ends = new ConcurrentSkipListMap<>();
    private volatile boolean running = true;

    /** Starts the clients, which send the kinds of requests in turn. */
    Traffic(Sidecar sidecar, Record record, List<Kind> kinds, int clients, long restMillis, Judge judge) {
        this.sidecar = sidecar;
        this.record = record;
        this.kinds = kinds;
        this.restMillis = restMillis;
        this.judge = judge;
        ended = new CountDownLatch(clients);
        for (int i = 0; i < clients; i++) {
            Threads.start("client", () -> {
                try {
                    sendUntilEnd();
                } finally {
                    ended.countDown();
                }
            });
        }
    }

    private void sendUntilEnd() throws InterruptedException {
        try (Client client = new Client(sidecar)) {
            while (running) {
                long number = nextId.incrementAndGet();
                send(client, kinds.get((int) (number % kinds.size())), String.format("t%08x", number));
                Thread.sleep(restMillis);
            }
        }
    }

    private void send(Client client, Kind kind, String id) {
        String request = Client.request(kind.profile, id, kind.waitMillis, "amount=1");
        try {
            Client.Result result = client.exchange(request, kind.waitMillis);
            record.addAt(
                    result.sentAt(),
                    "client: %s %s on a %s connection, %s after %.1f ms",
                    kind.profile.name(),
                    id,
                    result.newConnection() ? "new" : "used",
                    result.summary(),
                    result.endedAt() - result.sentAt());
            count(result.summary());
            judge.ended(kind, id, result);
        } catch (IOException e) {
            // No connection came up, or it took no whole request. The client goes on with its next one.
            record.add("client: %s %s not sent, %s", kind.profile.name(), id, e.getMessage());
            count("not sent");
        }
    }

    private void count(String end) {
        ends.computeIfAbsent(end, e -> new AtomicInteger()).incrementAndGet();
    }

    /** Returns how many requests have had an answer so far. */
    int answered() {
        return ends.entrySet().stream()
                .filter(each -> each.getKey().startsWith("answered"))
                .mapToInt(each -> each.getValue().get())
                .sum();
    }

    /** Lets the clients end, and returns how many requests ended in which way. */
    Map<String, AtomicInteger> end() throws InterruptedException {
        running = false;
        ended.await();
        return ends;
    }
}
