import java.nio.file.Path;
import java.util.List;

/**
 * New configurations in quick succession in a large fleet, some of whose endpoints hang. Exits with 0 if the rule held,
 * 10 if it was broken and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
 */
public final class ReloadsCase {
    private static final int HELD = 0;
    /** Not 1, with which a JVM that cannot start exits. */
    private static final int BROKEN = 10;

    private static final int NOT_RUN = 2;

    private static final int ENDPOINTS = 3_200;
    /** One endpoint in this many hangs: 16.7%. */
    private static final int HANGING_DIVISOR = 6;

    private static final int READ_LIMIT = 1_500;
    private static final int WRITE_LIMIT = 6_000;
    private static final int RELOADS = 8;
    private static final long RELOAD_INTERVAL_MILLIS = 500;
    private static final int BODY_BYTES = 60 << 10;
    private static final int PER_SECOND = 150;

    private ReloadsCase() {}

    /** Arguments: the project's root and the path of the record. */
    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = NOT_RUN;
        try (Recorder recorder = new Recorder(Path.of(arguments[1]))) {
            try {
                boolean held = run(recorder, Path.of(arguments[0]), trouble);
                recorder.report(held ? "the rule held" : "the rule was broken");
                status = held ? HELD : BROKEN;
            } catch (Exception e) {
                recorder.report("the case could not run: %s", e);
            }
        } catch (Exception e) {
            System.out.println("no record: " + e);
        }
        Runtime.getRuntime().halt(status);
    }

    private static boolean run(Recorder recorder, Path root, boolean trouble) throws Exception {
        Endpoints endpoints = new Endpoints(recorder, ENDPOINTS);
        Discovery discovery = new Discovery(recorder, endpoints);
        Sidecar sidecar = new Sidecar(recorder, discovery.port(), discovery.list());
        try (sidecar) {
            sidecar.configure(Settings.json(READ_LIMIT, WRITE_LIMIT));
            sidecar.start(root);
            Clients clients = new Clients(
                    recorder,
                    sidecar.port(),
                    new Clients.Load("POST", "charge", WRITE_LIMIT, BODY_BYTES, PER_SECOND));
            Thread.sleep(2_000);
            recorder.add("endpoints: one in %d hangs from now on", HANGING_DIVISOR);
            endpoints.hang(endpoint -> endpoint % HANGING_DIVISOR == 0);
            Thread.sleep(2_000);
            for (int i = 1; i <= RELOADS && sidecar.isAlive(); i++) {
                if (trouble) {
                    // Each file differs from the one before in the deadline of a profile that nobody uses here.
                    sidecar.configure(Settings.json(READ_LIMIT + 100 * (i % 2), WRITE_LIMIT));
                    sidecar.reload();
                }
                Thread.sleep(RELOAD_INTERVAL_MILLIS);
            }
            Thread.sleep(2_000);
            List<Clients.Outcome> outcomes = clients.finish();
            boolean alive = sidecar.isAlive();
            long lost = outcomes.stream().filter(Clients.Outcome::isLost).count();
            recorder.report("answers: %s", Clients.summary(outcomes));
            recorder.report("requests taken and not answered: %d of %d", lost, outcomes.size());
            recorder.report(
                    "the sidecar %s%s", alive ? "runs" : "has ended with status ", alive ? "" : sidecar.exitStatus());
            recorder.report("%s", sidecar.logLines("OutOfMemory").strip());
            return alive && lost == 0;
        }
    }
}
