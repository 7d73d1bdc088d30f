import java.nio.file.Path;
import java.util.List;

/** Pushed lists: the watch ends instead of telling, and discovery is down for 8 s. */
final class PushedListCase implements Case.Scenario {
    private static final int DRAIN_GRACE = 1_000;
    /** Each time limit is 50 ms longer on sockets. */
    private static final int SOCKET_SLACK = 50;

    private static final long DOWN_MILLIS = 8_000;

    @Override
    public boolean run(Recorder recorder, Path root, boolean trouble) throws Exception {
        Endpoints endpoints = new Endpoints(recorder, 4);
        Discovery discovery = new Discovery(recorder, endpoints);
        Sidecar sidecar = new Sidecar(recorder, discovery.port(), discovery.list());
        try (sidecar) {
            sidecar.configure(Settings.json("pushed", DRAIN_GRACE, 1_500, 3_000));
            sidecar.start(root);
            Clients clients =
                    new Clients(recorder, sidecar.port(), new Clients.Load("GET", "quote", 1_500, 0, 40));
            Thread.sleep(4_000);
            if (trouble) {
                discovery.failCalls(0);
            }
            double told = discovery.removeAndEndWatches(0);
            Thread.sleep(DOWN_MILLIS);
            discovery.serveCalls();
            Thread.sleep(3_000);
            List<Clients.Outcome> outcomes = clients.finish();
            recorder.report("answers: %s", Clients.summary(outcomes));
            return DrainCheck.held(recorder, endpoints, 0, told + DRAIN_GRACE + SOCKET_SLACK);
        }
    }
}
