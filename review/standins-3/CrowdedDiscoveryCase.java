import java.nio.file.Path;
import java.util.List;

/** Lists that are asked for: the watch ends instead of telling, and discovery is crowded for 12 s. */
final class CrowdedDiscoveryCase implements Case.Scenario {
    private static final int DRAIN_GRACE = 1_000;
    /** Each time limit is 50 ms longer on sockets. */
    private static final int SOCKET_SLACK = 50;
    /** A change counts as told at the latest this long after discovery had it and could be reached. */
    private static final int TOLD_AFTER = 6_000;

    private static final long CROWDED_MILLIS = 12_000;
    /** How long a call waits in discovery's queue before it ends with 503. */
    private static final long QUEUE_MILLIS = 1_000;

    @Override
    public boolean run(Recorder recorder, Path root, boolean trouble) throws Exception {
        Endpoints endpoints = new Endpoints(recorder, 4);
        Discovery discovery = new Discovery(recorder, endpoints);
        Sidecar sidecar = new Sidecar(recorder, discovery.port(), discovery.list());
        try (sidecar) {
            sidecar.configure(Settings.json("on_request", DRAIN_GRACE, 1_500, 3_000));
            sidecar.start(root);
            Clients clients =
                    new Clients(recorder, sidecar.port(), new Clients.Load("GET", "quote", 1_500, 0, 40));
            Thread.sleep(5_000);
            if (trouble) {
                discovery.failCalls(QUEUE_MILLIS);
            }
            double changed = discovery.removeAndEndWatches(0);
            for (long waited = 0; waited < CROWDED_MILLIS; waited += 1_000) {
                Thread.sleep(1_000);
                askAsAnotherCaller(recorder, discovery);
            }
            discovery.serveCalls();
            Thread.sleep(4_000);
            List<Clients.Outcome> outcomes = clients.finish();
            recorder.report("answers: %s", Clients.summary(outcomes));
            return DrainCheck.held(recorder, endpoints, 0, changed + TOLD_AFTER + DRAIN_GRACE + SOCKET_SLACK);
        }
    }

    /** Shows that discovery can be reached and has the change. */
    private static void askAsAnotherCaller(Recorder recorder, Discovery discovery) throws Exception {
        try (Connection connection = new Connection(discovery.port(), 1_000)) {
            String list = connection.exchange("GET", "/catalog/members", "", "").body();
            recorder.add(
                    "another caller: the list %s %s",
                    list.contains(Endpoints.name(0)) ? "names" : "does not name", Endpoints.name(0));
        }
    }
}
