import java.io.OutputStream;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A transaction of a profile that is marked against repeats: the first endpoint runs it and answers 500; the connection
 * to the second endpoint comes up 1 s late. All endpoints share what they remember.
 */
final class LateRepeatCase implements CaseMain.Case {
    private static final int ROUNDS = 3;
    private static final int WINDOW_MILLIS = 1_000;
    private static final int SLACK_MILLIS = 50;
    /** Connections that come up later than this count as not come up; the trouble's are up after about 1 s. */
    private static final int DIAL_TIMEOUT_MILLIS = 1_500;

    private static final int HARD_LIMIT_MILLIS = 2_500;
    private static final int WORK_MILLIS = 600;
    private static final String PROFILE = "{\"name\":\"stock-update\",\"effect\":\"by_key\",\"group\":\"all\","
            + "\"dedup_window\":" + WINDOW_MILLIS + ",\"service_goal\":600,\"hard_limit\":" + HARD_LIMIT_MILLIS
            + ",\"revenue\":8}";

    private Recorder recorder;
    /** When the first attempt of each transaction came to an endpoint, in ms of the record. */
    private final Map<String, Double> firstArrivals = new HashMap<>();

    private final Map<String, Integer> runs = new HashMap<>();
    private volatile CountDownLatch firstArrival;

    @Override
    public boolean holds(Recorder record, Path folder, boolean trouble) throws Exception {
        recorder = record;
        try (Discovery discovery = new Discovery(recorder)) {
            Endpoint first = Endpoint.start("s-0-first", this::handle);
            discovery.add(first);
            try (Sidecar sidecar =
                    new Sidecar(folder, discovery.port(), Settings.with(DIAL_TIMEOUT_MILLIS, PROFILE), discovery.list())) {
                for (int i = 0; i < ROUNDS; i++) {
                    first = playRound(i, first, discovery, sidecar, trouble);
                }
            }
        }
        return runs.values().stream().allMatch(count -> count == 1);
    }

    /** Sends one transaction. Returns the only endpoint that is listed at the end. */
    private Endpoint playRound(int round, Endpoint first, Discovery discovery, Sidecar sidecar, boolean trouble)
            throws Exception {
        firstArrival = new CountDownLatch(1);
        String name = "s-" + round + "-second";
        Endpoint second = trouble ? Endpoint.startBusy(name, this::handle) : Endpoint.start(name, this::handle);
        try (Client client = new Client(sidecar.port)) {
            String id = "t-" + round;
            recorder.add("client sent " + id);
            client.write(Client.request(
                    "POST", "/stock-update?k=" + round, "stock-update", id, HARD_LIMIT_MILLIS, "one box"));
            if (!firstArrival.await(2, TimeUnit.SECONDS)) {
                throw new IllegalStateException("no attempt came");
            }
            discovery.add(second);
            if (trouble) {
                // The connection is tried after the answer of the first endpoint; it can come up from now on.
                Thread.sleep(WORK_MILLIS + 400);
                recorder.add(name + " accepts connections from now on");
                second.accept();
            }
            Request answer = client.read(HARD_LIMIT_MILLIS + 1_000);
            recorder.add("client got " + (answer == null ? "nothing" : answer.startLine()) + " for " + id);
        }
        Endpoint next = Endpoint.start("s-" + (round + 1) + "-first", this::handle);
        discovery.add(next);
        discovery.remove(first);
        discovery.remove(second);
        Thread.sleep(500);
        return next;
    }

    private void handle(Endpoint endpoint, Request request, OutputStream out) throws Exception {
        if (arrive(endpoint, request.traceId())) {
            firstArrival.countDown();
            Thread.sleep(WORK_MILLIS);
            recorder.add(endpoint.name + " answered 500");
            Answers.write(out, "500 Internal Server Error", "", "");
        } else {
            Answers.ok(out, "done " + request.traceId());
        }
    }

    /** Runs a transaction unless the endpoints still remember it. Returns whether this is its first attempt. */
    private synchronized boolean arrive(Endpoint endpoint, String id) {
        double now = recorder.now();
        Double firstAt = firstArrivals.putIfAbsent(id, now);
        double age = firstAt == null ? 0 : now - firstAt;
        boolean remembered = firstAt != null && age <= WINDOW_MILLIS + SLACK_MILLIS;
        if (!remembered) {
            runs.merge(id, 1, Integer::sum);
        }
        recorder.add(endpoint.name + (remembered ? " dropped the repeat of " : " ran ") + id
                + (firstAt == null ? "" : String.format(", %.0f ms after the first attempt came", age)));
        return firstAt == null;
    }
}
