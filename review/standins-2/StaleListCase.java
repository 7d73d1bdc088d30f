import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All watches are reset, and discovery has too many callers for a while. Meanwhile an endpoint leaves the list, which
 * still answers.
 */
final class StaleListCase implements CaseMain.Case {
    /** A change counts as told so long after discovery had it, at the latest. */
    private static final int TOLD_MILLIS = 6_000;

    private static final int GRACE_MILLIS = 1_000;
    private static final int SLACK_MILLIS = 50;
    private static final int CROWDED_AFTER_CHANGE_MILLIS = 12_000;
    private static final int CLIENTS = 4;
    private static final int WORK_MILLIS = 30;

    private volatile double leftAt = Double.MAX_VALUE;
    private volatile boolean stopped;
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger nextId = new AtomicInteger();

    @Override
    public boolean holds(Recorder recorder, Path folder, boolean trouble) throws Exception {
        Endpoint.Handler handler = (Endpoint endpoint, Request request, OutputStream out) -> {
            double sinceLeft = recorder.now() - leftAt;
            boolean tooLate =
                    endpoint.name.equals("s-2") && sinceLeft > TOLD_MILLIS + GRACE_MILLIS + SLACK_MILLIS;
            recorder.add(endpoint.name + " runs " + request.traceId()
                    + (tooLate ? String.format(", %.0f ms after it left the list", sinceLeft) : ""));
            late.addAndGet(tooLate ? 1 : 0);
            Thread.sleep(WORK_MILLIS);
            Answers.ok(out, "done " + request.traceId());
        };
        try (Discovery discovery = new Discovery(recorder)) {
            Endpoint leaving = null;
            for (int i = 0; i < 3; i++) {
                leaving = Endpoint.start("s-" + i, handler);
                discovery.add(leaving);
            }
            String settings = Settings.with(250, Settings.QUOTE, Settings.POST_CHARGE);
            try (Sidecar sidecar = new Sidecar(folder, discovery.port(), settings, discovery.list())) {
                for (int i = 0; i < CLIENTS; i++) {
                    Threads.start("client", () -> sendUntilStopped(sidecar, recorder));
                }
                Thread.sleep(4_000);
                if (trouble) {
                    discovery.becomeCrowded();
                }
                Thread.sleep(1_000);
                discovery.remove(leaving);
                leftAt = recorder.now();
                Thread.sleep(CROWDED_AFTER_CHANGE_MILLIS);
                if (trouble) {
                    discovery.recover();
                }
                Thread.sleep(4_000);
                stopped = true;
                Thread.sleep(1_600);
            }
        }
        recorder.add("attempts at s-2 later than " + (TOLD_MILLIS + GRACE_MILLIS + SLACK_MILLIS)
                + " ms after it left the list: " + late.get());
        return late.get() == 0;
    }

    private void sendUntilStopped(Sidecar sidecar, Recorder recorder) throws Exception {
        while (!stopped) {
            // The sidecar may close a resting connection at any time, so each request has one of its own.
            try (Client client = new Client(sidecar.port)) {
                String id = "t-" + nextId.incrementAndGet();
                client.write(Client.request("GET", "/quote?k=1", "quote", id, 1_500, ""));
                Request answer = client.read(2_000);
                recorder.add("client got " + (answer == null ? "nothing" : answer.startLine()) + " for " + id);
            } catch (IOException e) {
                recorder.add("client failed: " + e);
            }
            Thread.sleep(50);
        }
    }
}
