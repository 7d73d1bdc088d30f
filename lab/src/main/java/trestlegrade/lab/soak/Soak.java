package trestlegrade.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/** One run: real processes of the built program, stand-ins for all that they meet, and the faults of a plan. */
public final class Soak {
    private static final int CLIENTS_PER_SIDECAR = 6;
    private static final int SHUTDOWN_MILLISECONDS = Settings.LONGEST_DEADLINE + 700;
    private static final int HELD_UP_MICROSECONDS = 150_000;
    private static final int HELD_UP_RATE = 30;
    private static final int FAILING_RATE = 300;
    private static final int INTERRUPT_RATE = 100;
    private static final int RESET_EVERY = 9;
    private static final int DELAY_MILLISECONDS = 200;
    /** From the last sidecar's start to the first client, for threads and classes on both sides. */
    private static final int WARM_MILLISECONDS = 1_000;

    private static final int SETTLES_MILLISECONDS = 5_000;
    private static final long HELD_UP_ONLY = TimeUnit.MILLISECONDS.toNanos(200);
    /** Microseconds by which the wall clock steps. */
    private static final long[] WALL_CLOCK_STEPS = {-3_600_000_000L, -5_000_000L, 5_000_000L, 3_600_000_000L};

    private static final SystemCallShim.Errno[] ACCEPT_ERRORS = {
        SystemCallShim.Errno.ECONNABORTED,
        SystemCallShim.Errno.EMFILE,
        SystemCallShim.Errno.ENFILE,
        SystemCallShim.Errno.ENOBUFS
    };
    private static final SystemCallShim.Errno[] CONNECT_ERRORS = {
        SystemCallShim.Errno.EADDRNOTAVAIL,
        SystemCallShim.Errno.ENETUNREACH,
        SystemCallShim.Errno.ETIMEDOUT,
        SystemCallShim.Errno.EHOSTUNREACH
    };

    private final Plan plan;
    private final Path folder;
    private final Path program;
    private final Recorder recorder = new Recorder();
    private final Background background = new Background();
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<AtomicBoolean> changing = new ArrayList<>();
    private StandInDiscovery discovery;

    private Soak(Plan plan, Path folder, Path program) {
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
            List<Breach> breaches,
            long machineLateMilliseconds) {}

    /** Plays the plan of a seed; the program is the root of a project that was built. */
    public static Result play(long seed, int milliseconds, int sidecars, int servers, Path program)
            throws IOException, InterruptedException {
        return play(Plan.draw(seed, milliseconds, sidecars, servers), program.toAbsolutePath());
    }

    static Result play(Plan plan, Path program) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("soak-" + plan.seed() + "-");
        return new Soak(plan, folder, program).run();
    }

    private Result run() throws IOException, InterruptedException {
        Thread atExit = new Thread(() -> sidecars.forEach(SidecarProcess::close));
        Runtime.getRuntime().addShutdownHook(atExit);
        try {
            setUp();
            Thread.sleep(WARM_MILLISECONDS);
            long start = System.nanoTime();
            long end = start + plan.milliseconds() * 1_000_000L;
            for (SidecarProcess sidecar : sidecars) {
                for (int i = 0; i < CLIENTS_PER_SIDECAR; i++) {
                    Application client = new Application(
                            sidecar, recorder, Plan.random(plan.seed(), sidecar.name() + " client " + i));
                    background.run("client", () -> client.runUntil(end));
                }
            }
            for (Fault fault : plan.faults()) {
                background.run("fault", () -> play(fault, start));
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
            changing.add(new AtomicBoolean());
        }
        recorder.watchMachine(background);
        for (SidecarProcess sidecar : sidecars) {
            sidecar.start();
        }
    }

    private Result result() {
        List<Event> events = recorder.events();
        Auditor auditor = new Auditor(events);
        List<Breach> breaches = auditor.audit();
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
                breaches,
                TimeUnit.NANOSECONDS.toMillis(late));
    }

    // -------------------------------------------------- faults

    private void play(Fault fault, long start) throws IOException, InterruptedException {
        sleepUntil(start + fault.start() * 1_000_000L);
        long end = System.nanoTime() + fault.length() * 1_000_000L;
        Logger.debug("soak code=fault fault={}", fault);
        if (fault instanceof Fault.AtServer at) {
            play(at, end);
        } else if (fault instanceof Fault.Leave leave) {
            play(leave, end);
        } else if (fault instanceof Fault.AtDiscovery at) {
            play(at, end);
        } else if (fault instanceof Fault.SystemCalls calls) {
            play(calls, end);
        } else if (fault instanceof Fault.Restart restart) {
            alone(restart.sidecar(), () -> restart(sidecars.get(restart.sidecar())));
        } else if (fault instanceof Fault.Crash crash) {
            alone(crash.sidecar(), () -> crash(sidecars.get(crash.sidecar())));
        } else if (fault instanceof Fault.Pause pause) {
            pause(sidecars.get(pause.sidecar()), end);
        } else if (fault instanceof Fault.Reload reload) {
            sidecars.get(reload.sidecar()).reload();
            if (reload.twice()) {
                sidecars.get(reload.sidecar()).reload();
            }
        } else if (fault instanceof Fault.Crowd crowd) {
            SidecarProcess sidecar = sidecars.get(crowd.sidecar());
            // Descriptors come free a while behind their end.
            recorder.add(
                    new Event.Excused(System.nanoTime(), sidecar.name(), end + TimeUnit.SECONDS.toNanos(1), "crowd"));
            Application.crowd(sidecar, crowd.clients(), end);
        }
    }

    /** One process at a time is ended and started under a name. */
    private void alone(int sidecar, Background.Task task) throws IOException, InterruptedException {
        if (changing.get(sidecar).compareAndSet(false, true)) {
            try {
                task.run();
            } finally {
                changing.get(sidecar).set(false);
            }
        }
    }

    private void play(Fault.AtServer fault, long end) throws IOException, InterruptedException {
        StandInServer server = servers.get(fault.server());
        FaultProxy proxy = server.proxy();
        switch (fault.trouble()) {
            case HANG -> server.hangs(true);
            case ERRORS -> server.errs(true);
            case SILENT -> proxy.hold(true, true, end);
            case ANSWERS_SILENT -> proxy.hold(false, true, end);
            case REFUSES -> proxy.refuse(true);
            case RESETS -> proxy.resetEvery(RESET_EVERY);
            case PIECES -> proxy.pieces(true);
            case DELAY -> proxy.delay(DELAY_MILLISECONDS);
            case SPOILT -> server.spoils(true);
            case TWO_ANSWERS -> server.answersTwice(true);
        }
        sleepUntil(end);
        switch (fault.trouble()) {
            case HANG -> server.hangs(false);
            case ERRORS -> server.errs(false);
            case SILENT, ANSWERS_SILENT -> proxy.resetAll();
            case REFUSES -> proxy.refuse(false);
            case RESETS -> proxy.resetEvery(0);
            case PIECES -> proxy.pieces(false);
            case DELAY -> proxy.delay(0);
            case SPOILT -> server.spoils(false);
            case TWO_ANSWERS -> server.answersTwice(false);
        }
    }

    private void play(Fault.Leave fault, long end) throws IOException, InterruptedException {
        StandInServer server = servers.get(fault.server());
        synchronized (server) {
            if (!discovery.active(server.name())) {
                return;
            }
            discovery.change(server.name(), fault.vanishes() ? "left" : "leaving");
        }
        // Half of those that drain serve on, so that what is sent to them is seen to run.
        boolean turnsAway = fault.length() % 2 == 0;
        sleepUntil(System.nanoTime() + Settings.DRAIN_GRACE * 1_000_000L);
        server.turnsAway(turnsAway);
        sleepUntil(Math.max(end, System.nanoTime()));
        server.turnsAway(false);
        discovery.change(server.name(), "active");
    }

    private void play(Fault.AtDiscovery fault, long end) throws IOException, InterruptedException {
        switch (fault.trouble()) {
            case DOWN -> discovery.down(true);
            case CROWDED -> discovery.crowded(true);
            case SLOW -> discovery.slow(true);
            case SILENT -> discovery.silent(end);
            case RESET -> discovery.resetWatches();
        }
        if (fault.trouble() == Fault.DiscoveryTrouble.CROWDED) {
            discovery.resetWatches();
        }
        sleepUntil(end);
        switch (fault.trouble()) {
            case DOWN -> discovery.down(false);
            case CROWDED -> discovery.crowded(false);
            case SLOW -> discovery.slow(false);
            case SILENT, RESET -> {}
        }
    }

    private void play(Fault.SystemCalls fault, long end) throws InterruptedException {
        SidecarProcess sidecar = sidecars.get(fault.sidecar());
        SystemCallShim shim = sidecar.shim();
        switch (fault.trouble()) {
            case ACCEPT ->
                shim.fail(
                        SystemCallShim.Field.ACCEPT_ERRNO,
                        SystemCallShim.Field.ACCEPT_RATE,
                        ACCEPT_ERRORS[fault.draw() % ACCEPT_ERRORS.length],
                        FAILING_RATE);
            case SOCKET ->
                shim.fail(
                        SystemCallShim.Field.SOCKET_ERRNO,
                        SystemCallShim.Field.SOCKET_RATE,
                        SystemCallShim.Errno.ENFILE,
                        FAILING_RATE);
            case CONNECT ->
                shim.fail(
                        SystemCallShim.Field.CONNECT_ERRNO,
                        SystemCallShim.Field.CONNECT_RATE,
                        CONNECT_ERRORS[fault.draw() % CONNECT_ERRORS.length],
                        FAILING_RATE);
            case SHORT_AND_INTERRUPTED -> {
                shim.set(SystemCallShim.Field.SHORT_RATE, FAILING_RATE);
                shim.set(SystemCallShim.Field.INTERRUPT_RATE, INTERRUPT_RATE);
            }
            case HELD_UP -> {
                recorder.add(new Event.Excused(System.nanoTime(), sidecar.name(), end + HELD_UP_ONLY, "held-up"));
                shim.set(SystemCallShim.Field.HOLD_MICROSECONDS, HELD_UP_MICROSECONDS);
                shim.set(SystemCallShim.Field.HOLD_RATE, HELD_UP_RATE);
            }
            case WALL_CLOCK ->
                shim.set(
                        SystemCallShim.Field.WALL_CLOCK_MICROSECONDS,
                        WALL_CLOCK_STEPS[fault.draw() % WALL_CLOCK_STEPS.length]);
        }
        sleepUntil(end);
        switch (fault.trouble()) {
            case ACCEPT -> shim.set(SystemCallShim.Field.ACCEPT_RATE, 0);
            case SOCKET -> shim.set(SystemCallShim.Field.SOCKET_RATE, 0);
            case CONNECT -> shim.set(SystemCallShim.Field.CONNECT_RATE, 0);
            case SHORT_AND_INTERRUPTED -> {
                shim.set(SystemCallShim.Field.SHORT_RATE, 0);
                shim.set(SystemCallShim.Field.INTERRUPT_RATE, 0);
            }
            case HELD_UP -> shim.set(SystemCallShim.Field.HOLD_RATE, 0);
            case WALL_CLOCK -> shim.set(SystemCallShim.Field.WALL_CLOCK_MICROSECONDS, 0);
        }
    }

    private void restart(SidecarProcess sidecar) throws IOException, InterruptedException {
        long told = System.nanoTime();
        sidecar.signal("TERM");
        sidecar.endWithin(SHUTDOWN_MILLISECONDS);
        if (sidecar.pausedUntil() > told) {
            // It learned of its end later, and had less time for that.
            recorder.add(new Event.Excused(told, sidecar.name(), System.nanoTime(), "killed"));
        }
        sidecar.start();
    }

    private void crash(SidecarProcess sidecar) throws IOException, InterruptedException {
        recorder.add(new Event.Excused(System.nanoTime(), sidecar.name(), System.nanoTime() + HELD_UP_ONLY, "killed"));
        sidecar.signal("KILL");
        sidecar.endWithin(SHUTDOWN_MILLISECONDS);
        sidecar.start();
    }

    private void pause(SidecarProcess sidecar, long end) throws IOException, InterruptedException {
        if (end - System.nanoTime() > HELD_UP_ONLY) {
            recorder.add(new Event.Excused(System.nanoTime(), sidecar.name(), end, "paused"));
        }
        sidecar.pausedUntil(end);
        sidecar.signal("STOP");
        sleepUntil(end);
        sidecar.signal("CONT");
    }

    private static void sleepUntil(long time) throws InterruptedException {
        long left = (time - System.nanoTime()) / 1_000_000;
        if (left > 0) {
            Thread.sleep(left);
        }
    }
}
