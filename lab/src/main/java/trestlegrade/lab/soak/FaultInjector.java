package trestlegrade.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/** Plays the faults of a run: each call takes as long as its fault, on a thread of its own. */
final class FaultInjector {
    private static final int SHUTDOWN_MILLISECONDS = SoakSettings.LONGEST_DEADLINE + 700;
    private static final int RESET_EVERY = 9;
    private static final int DELAY_MILLISECONDS = 200;
    /** For so long after a process was held up or killed its answers may be missing or late. */
    private static final long EXCUSED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final EventRecorder recorder;
    private final StandInDiscovery discovery;
    private final List<StandInServer> servers;
    private final List<SidecarProcess> sidecars;
    /** By sidecar: whether its process is being ended and started. */
    private final List<AtomicBoolean> changing;

    FaultInjector(
            EventRecorder recorder,
            StandInDiscovery discovery,
            List<StandInServer> servers,
            List<SidecarProcess> sidecars) {
        this.recorder = recorder;
        this.discovery = discovery;
        this.servers = List.copyOf(servers);
        this.sidecars = List.copyOf(sidecars);
        changing = sidecars.stream().map(each -> new AtomicBoolean()).toList();
    }

    /** Waits until the fault begins, counted from the start of the run, and plays it to its end. */
    void play(Fault fault, long runStart) throws IOException, InterruptedException {
        sleepUntil(runStart + fault.start() * 1_000_000L);
        long end = System.nanoTime() + fault.length() * 1_000_000L;
        Logger.debug("soak code=fault fault={}", fault);
        if (fault instanceof Fault.AtServer at) {
            atServer(at, end);
        } else if (fault instanceof Fault.Leave leave) {
            leave(leave, end);
        } else if (fault instanceof Fault.AtDiscovery at) {
            atDiscovery(at, end);
        } else if (fault instanceof Fault.SystemCalls calls) {
            systemCalls(calls, end);
        } else if (fault instanceof Fault.Restart restart) {
            alone(restart.sidecar(), () -> restart(sidecars.get(restart.sidecar())));
        } else if (fault instanceof Fault.Crash crash) {
            alone(crash.sidecar(), () -> crash(sidecars.get(crash.sidecar())));
        } else if (fault instanceof Fault.Pause pause) {
            pause(sidecars.get(pause.sidecar()), end);
        } else if (fault instanceof Fault.Reload reload) {
            reload(reload);
        } else if (fault instanceof Fault.Crowd crowd) {
            crowd(crowd, end);
        }
    }

    private void atServer(Fault.AtServer fault, long end) throws IOException, InterruptedException {
        StandInServer server = servers.get(fault.server());
        begin(fault.trouble(), server, end);
        sleepUntil(end);
        end(fault.trouble(), server);
    }

    private static void begin(Fault.ServerTrouble trouble, StandInServer server, long end) throws IOException {
        FaultProxy proxy = server.proxy();
        switch (trouble) {
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
    }

    private static void end(Fault.ServerTrouble trouble, StandInServer server) throws IOException {
        FaultProxy proxy = server.proxy();
        switch (trouble) {
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

    private void leave(Fault.Leave fault, long end) throws IOException, InterruptedException {
        StandInServer server = servers.get(fault.server());
        synchronized (server) {
            if (!discovery.active(server.name())) {
                return;
            }
            discovery.change(server.name(), fault.vanishes() ? "left" : "leaving");
        }
        // Half of those that drain serve on, so that what is sent to them is seen to run.
        boolean turnsAway = fault.length() % 2 == 0;
        sleepUntil(System.nanoTime() + SoakSettings.DRAIN_GRACE * 1_000_000L);
        server.turnsAway(turnsAway);
        sleepUntil(Math.max(end, System.nanoTime()));
        server.turnsAway(false);
        discovery.change(server.name(), "active");
    }

    private void atDiscovery(Fault.AtDiscovery fault, long end) throws IOException, InterruptedException {
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

    private void systemCalls(Fault.SystemCalls fault, long end) throws InterruptedException {
        SidecarProcess sidecar = sidecars.get(fault.sidecar());
        if (fault.trouble() == Fault.SystemCallTrouble.HELD_UP) {
            recorder.add(new Event.Excused(System.nanoTime(), sidecar.name(), end + EXCUSED_AFTER_NANOS, "held-up"));
        }
        SystemCallFaults.begin(fault, sidecar.shim());
        sleepUntil(end);
        SystemCallFaults.end(fault, sidecar.shim());
    }

    /** One process at a time is ended and started under a name. */
    private void alone(int sidecar, BackgroundTasks.Task task) throws IOException, InterruptedException {
        if (changing.get(sidecar).compareAndSet(false, true)) {
            try {
                task.run();
            } finally {
                changing.get(sidecar).set(false);
            }
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
        long told = System.nanoTime();
        recorder.add(new Event.Excused(told, sidecar.name(), told + EXCUSED_AFTER_NANOS, "killed"));
        sidecar.signal("KILL");
        sidecar.endWithin(SHUTDOWN_MILLISECONDS);
        // On a busy machine the signal itself takes a while.
        recorder.add(new Event.Excused(told, sidecar.name(), System.nanoTime(), "killed"));
        sidecar.start();
    }

    private void pause(SidecarProcess sidecar, long end) throws IOException, InterruptedException {
        if (end - System.nanoTime() > EXCUSED_AFTER_NANOS) {
            recorder.add(new Event.Excused(System.nanoTime(), sidecar.name(), end, "paused"));
        }
        sidecar.pausedUntil(end);
        sidecar.signal("STOP");
        sleepUntil(end);
        sidecar.signal("CONT");
    }

    private void reload(Fault.Reload fault) throws IOException, InterruptedException {
        SidecarProcess sidecar = sidecars.get(fault.sidecar());
        sidecar.reload();
        if (fault.twice()) {
            sidecar.reload();
        }
    }

    private void crowd(Fault.Crowd fault, long end) throws IOException, InterruptedException {
        SidecarProcess sidecar = sidecars.get(fault.sidecar());
        // Descriptors come free a while behind their end.
        recorder.add(new Event.Excused(System.nanoTime(), sidecar.name(), end + TimeUnit.SECONDS.toNanos(1), "crowd"));
        ClientApplication.crowd(sidecar, fault.clients(), end);
    }

    private static void sleepUntil(long time) throws InterruptedException {
        long left = (time - System.nanoTime()) / 1_000_000;
        if (left > 0) {
            Thread.sleep(left);
        }
    }
}
