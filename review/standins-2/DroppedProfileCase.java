import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A client sends three transactions at once on one connection. While the first one runs, new settings drop the profile
 * of the second one.
 */
final class DroppedProfileCase implements CaseMain.Case {
    private static final int WORK_MILLIS = 300;
    private static final int ROUNDS = 3;

    @Override
    public boolean holds(Recorder recorder, Path folder, boolean trouble) throws Exception {
        Endpoint.Handler handler = (Endpoint endpoint, Request request, OutputStream out) -> {
            recorder.add(endpoint.name + " runs " + request.traceId());
            Thread.sleep(WORK_MILLIS);
            Answers.ok(out, "done " + request.traceId());
        };
        String both = Settings.with(250, Settings.QUOTE, Settings.POST_CHARGE);
        String one = Settings.with(250, Settings.QUOTE);
        boolean holds = true;
        try (Discovery discovery = new Discovery(recorder)) {
            discovery.add(Endpoint.start("s-0", handler));
            discovery.add(Endpoint.start("s-1", handler));
            try (Sidecar sidecar = new Sidecar(folder, discovery.port(), both, discovery.list())) {
                for (int i = 0; i < ROUNDS; i++) {
                    holds &= playRound(i, sidecar, trouble ? one : null, recorder);
                    sidecar.reload(both);
                    Thread.sleep(500);
                }
            }
        }
        return holds;
    }

    private static boolean playRound(int round, Sidecar sidecar, String newSettings, Recorder recorder)
            throws Exception {
        List<String> ids = List.of(round + "-quote-1", round + "-post-charge", round + "-quote-2");
        List<String> unanswered = new ArrayList<>(ids);
        try (Client client = new Client(sidecar.port)) {
            client.write(Client.request("GET", "/quote?k=1", "quote", ids.get(0), 1_500, "")
                    + Client.request("POST", "/post-charge?k=1", "post-charge", ids.get(1), 3_000, "x")
                    + Client.request("GET", "/quote?k=2", "quote", ids.get(2), 1_500, ""));
            recorder.add("client sent at once " + ids);
            Thread.sleep(100);
            if (newSettings != null) {
                recorder.add("SIGHUP with settings that have no post-charge");
                sidecar.reload(newSettings);
            }
            for (Request answer = client.read(4_000); answer != null; answer = client.read(4_000)) {
                recorder.add("client got " + answer.startLine() + " for " + unanswered.remove(0));
                if (unanswered.isEmpty()) {
                    return true;
                }
            }
        }
        recorder.add("the sidecar closed the connection; never answered: " + unanswered);
        return false;
    }
}
