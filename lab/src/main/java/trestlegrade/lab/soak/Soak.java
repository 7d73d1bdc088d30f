package trestlegrade.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One run of the soak test: processes of the built program, fake servers and discovery, clients, and faults. */
public final class Soak {
    private static final int CLIENTS_PER_SIDECAR = 6;
    /** The pause between the start of the last sidecar and the first client, for threads and classes on both sides. */
    private static final int WARM_UP_MILLISECONDS = 1_000;

    private static final int SETTLE_MILLISECONDS = 5_000;
    private final FaultPlan plan;
    private final Path folder;
    private final Path program;
    private final EventRecorder recorder = new EventRecorder();
    private final BackgroundTasks background = new BackgroundTasks();
    private final List<FakeServer> servers = new ArrayList<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private FakeDiscovery discovery;

    private Soak(FaultPlan plan, Path folder, Path program) {
        this.plan = plan;
        this.folder = folder;
        this.program = program;
    }

    /** The result of a run. */
    public record Result(
            long seed,
            int sidecars,
            int faults,
            int requests,
            int attempts,
            long served,
            List<RuleViolation> violations,
            long maxSchedulingDelayMilliseconds) {}

    /** Runs the plan of a seed; {@code program} is the root of a built project. */
    public static Result run(long seed, int milliseconds, int sidecars, int servers, Path program)
            throws IOException, InterruptedException {
        return run(FaultPlan.generate(seed, milliseconds, sidecars, servers), program.toAbsolutePath());
    }

    /** Runs a plan. */
    static Result run(FaultPlan plan, Path program) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("soak-" + plan.seed() + "-");
        return new Soak(plan, folder, program).execute();
    }

    private Result execute() throws IOException, InterruptedException {
        Thread shutdownHook = new Thread(() -> sidecars.forEach(SidecarProcess::close));
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            setUp();
            Thread.sleep(WARM_UP_MILLISECONDS);
            long start = System.nanoTime();
            long end = start + plan.milliseconds() * 1_000_000L;
            for (SidecarProcess sidecar : sidecars) {
                for (int i = 0; i < CLIENTS_PER_SIDECAR; i++) {
                    ClientApplication client = new ClientApplication(
                            sidecar, recorder, FaultPlan.generator(plan.seed(), sidecar.name() + " client " + i));
                    background.run("client", () -> client.runUntil(end));
                }
            }
            FaultInjector injector = new FaultInjector(recorder, discovery, servers, sidecars);
            for (Fault fault : plan.faults()) {
                background.run("fault", () -> injector.inject(fault, start));
            }
            Thread.sleep(plan.milliseconds() + SETTLE_MILLISECONDS);
            return result();
        } finally {
            sidecars.forEach(SidecarProcess::close);
            background.close();
            for (FakeServer server : servers) {
                server.close();
            }
            if (discovery != null) {
                discovery.close();
            }
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        }
    }

    private void setUp() throws IOException, InterruptedException {
        Path shim = SystemCallShim.compile(folder);
        discovery = new FakeDiscovery(background, recorder);
        for (int i = 0; i < plan.servers(); i++) {
            FakeServer server = new FakeServer("s-" + i, background, recorder);
            servers.add(server);
            server.warmUp();
            discovery.addServer(server.name(), server.proxy().port(), i % 2 == 0 ? "a" : "b");
        }
        for (int i = 0; i < plan.sidecars(); i++) {
            sidecars.add(
                    new SidecarProcess(i, plan.sidecars(), plan.seed(), folder, program, shim, recorder, discovery));
        }
        recorder.recordSchedulingDelays(background);
        for (SidecarProcess sidecar : sidecars) {
            sidecar.start();
        }
    }

    private Result result() {
        List<Event> events = recorder.events();
        Auditor auditor = new Auditor(events);
        List<RuleViolation> violations = auditor.audit();
        long served = events.stream()
                .filter(each -> each instanceof Event.ResponseRead response && response.status() == 200)
                .count();
        long maxDelay = events.stream()
                .filter(Event.SchedulingDelay.class::isInstance)
                .mapToLong(each -> ((Event.SchedulingDelay) each).duration())
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
                TimeUnit.NANOSECONDS.toMillis(maxDelay));
    }
}
