package trestlegrade.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One run: real processes of the built program, stand-ins for all that they meet, and the faults of a plan. */
public final class Soak {
    private static final int CLIENTS_PER_SIDECAR = 6;
    /** From the last sidecar's start to the first client, for threads and classes on both sides. */
    private static final int WARM_MILLISECONDS = 1_000;

    private static final int SETTLES_MILLISECONDS = 5_000;
    private final FaultPlan plan;
    private final Path folder;
    private final Path program;
    private final EventRecorder recorder = new EventRecorder();
    private final BackgroundTasks background = new BackgroundTasks();
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private StandInDiscovery discovery;

    private Soak(FaultPlan plan, Path folder, Path program) {
        this.plan = plan;
        this.folder = folder;
        this.program = program;
    }

    /** What a run has shown. */
    public record Result(
            long seed,
            int sidecars,
            int faults,
            int requests,
            int attempts,
            long served,
            List<RuleViolation> violations,
            long machineLateMilliseconds) {}

    /** Plays the plan of a seed; the program is the root of a project that was built. */
    public static Result run(long seed, int milliseconds, int sidecars, int servers, Path program)
            throws IOException, InterruptedException {
        return run(FaultPlan.draw(seed, milliseconds, sidecars, servers), program.toAbsolutePath());
    }

    /** Plays a plan that was drawn before. */
    static Result run(FaultPlan plan, Path program) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("soak-" + plan.seed() + "-");
        return new Soak(plan, folder, program).execute();
    }

    private Result execute() throws IOException, InterruptedException {
        Thread atExit = new Thread(() -> sidecars.forEach(SidecarProcess::close));
        Runtime.getRuntime().addShutdownHook(atExit);
        try {
            setUp();
            Thread.sleep(WARM_MILLISECONDS);
            long start = System.nanoTime();
            long end = start + plan.milliseconds() * 1_000_000L;
            for (SidecarProcess sidecar : sidecars) {
                for (int i = 0; i < CLIENTS_PER_SIDECAR; i++) {
                    ClientApplication client = new ClientApplication(
                            sidecar, recorder, FaultPlan.random(plan.seed(), sidecar.name() + " client " + i));
                    background.run("client", () -> client.runUntil(end));
                }
            }
            FaultInjector injector = new FaultInjector(recorder, discovery, servers, sidecars);
            for (Fault fault : plan.faults()) {
                background.run("fault", () -> injector.play(fault, start));
            }
            Thread.sleep(plan.milliseconds() + SETTLES_MILLISECONDS);
            return result();
        } finally {
            sidecars.forEach(SidecarProcess::close);
            background.close();
            for (StandInServer server : servers) {
                server.close();
            }
            if (discovery != null) {
                discovery.close();
            }
            Runtime.getRuntime().removeShutdownHook(atExit);
        }
    }

    private void setUp() throws IOException, InterruptedException {
        Path shim = SystemCallShim.compile(folder);
        discovery = new StandInDiscovery(background, recorder);
        for (int i = 0; i < plan.servers(); i++) {
            StandInServer server = new StandInServer("s-" + i, background, recorder);
            servers.add(server);
            server.warmUp();
            discovery.first(server.name(), server.proxy().port(), i % 2 == 0 ? "a" : "b");
        }
        for (int i = 0; i < plan.sidecars(); i++) {
            sidecars.add(
                    new SidecarProcess(i, plan.sidecars(), plan.seed(), folder, program, shim, recorder, discovery));
        }
        recorder.watchMachine(background);
        for (SidecarProcess sidecar : sidecars) {
            sidecar.start();
        }
    }

    private Result result() {
        List<Event> events = recorder.events();
        Auditor auditor = new Auditor(events);
        List<RuleViolation> violations = auditor.audit();
        long served = events.stream()
                .filter(each -> each instanceof Event.AnswerRead answer && answer.status() == 200)
                .count();
        long late = events.stream()
                .filter(Event.MachineLate.class::isInstance)
                .mapToLong(each -> ((Event.MachineLate) each).late())
                .max()
                .orElse(0);
        return new Result(
                plan.seed(),
                plan.sidecars(),
                plan.faults().size(),
                auditor.requests(),
                auditor.attempts(),
                served,
                violations,
                TimeUnit.NANOSECONDS.toMillis(late));
    }
}
