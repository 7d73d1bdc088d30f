package trestlegrade.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/** Injects the faults of a run. Each call blocks for the duration of its fault, on a separate thread. */
final class FaultInjector {
    private static final int MAX_SHUTDOWN_MILLISECONDS = SoakSettings.MAX_DEADLINE + 700;
    /** While a proxy resets connections, every ninth chunk that a sidecar sends causes a reset. */
    private static final int RESET_INTERVAL_CHUNKS = 9;

    private static final int DELAY_MILLISECONDS = 200;
    /** Responses of a process may be missing or late for this long after it was held up or killed. */
    private static final long EXEMPT_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final EventRecorder recorder;
    private final FakeDiscovery discovery;
    private final List<FakeServer> servers;
    private final List<SidecarProcess> sidecars;
    /** For each sidecar, whether its process is being stopped and started. */
    private final List<AtomicBoolean> restarting;

    FaultInjector(
            EventRecorder recorder, FakeDiscovery discovery, List<FakeServer> servers, List<SidecarProcess> sidecars) {
        this.recorder = recorder;
        this.discovery = discovery;
        this.servers = List.copyOf(servers);
        this.sidecars = List.copyOf(sidecars);
        restarting = sidecars.stream().map(each -> new AtomicBoolean()).toList();
    }

    /** Waits until the fault starts, relative to the start of the run, and injects it until its end. */
    void inject(Fault fault, long runStart) throws IOException, InterruptedException {
        sleepUntil(runStart + fault.start() * 1_000_000L);
        long end = System.nanoTime() + fault.length() * 1_000_000L;
        Logger.debug("soak code=fault fault={}", fault);
        if (fault instanceof Fault.ServerFault serverFault) {
            injectServerFault(serverFault, end);
        } else if (fault instanceof Fault.ServerRemoval removal) {
            injectServerRemoval(removal, end);
        } else if (fault instanceof Fault.DiscoveryFault discoveryFault) {
            injectDiscoveryFault(discoveryFault, end);
        } else if (fault instanceof Fault.SystemCallFault calls) {
            injectSystemCallFault(calls, end);
        } else if (fault instanceof Fault.Restart restart) {
            runExclusively(restart.sidecar(), () -> restart(sidecars.get(restart.sidecar())));
        } else if (fault instanceof Fault.Crash crash) {
            runExclusively(crash.sidecar(), () -> crash(sidecars.get(crash.sidecar())));
        } else if (fault instanceof Fault.Pause pause) {
            pause(sidecars.get(pause.sidecar()), end);
        } else if (fault instanceof Fault.Reload reload) {
            reload(reload);
        } else if (fault instanceof Fault.ConnectionFlood flood) {
            floodConnections(flood, end);
        }
    }

    private void injectServerFault(Fault.ServerFault fault, long end) throws IOException, InterruptedException {
        FakeServer server = servers.get(fault.server());
        start(fault.trouble(), server, end);
        sleepUntil(end);
        stop(fault.trouble(), server);
    }

    private static void start(Fault.ServerTrouble trouble, FakeServer server, long end) throws IOException {
        FaultProxy proxy = server.proxy();
        switch (trouble) {
            case HANG -> server.setHanging(true);
            case ERRORS -> server.setReturningErrors(true);
            case SILENT -> proxy.hold(true, true, end);
            case ANSWERS_SILENT -> proxy.hold(false, true, end);
            case REFUSES -> proxy.setRefusing(true);
            case RESETS -> proxy.setResetInterval(RESET_INTERVAL_CHUNKS);
            case PIECES -> proxy.setFragmenting(true);
            case DELAY -> proxy.setDelay(DELAY_MILLISECONDS);
            case SPOILT -> server.setMalformingResponses(true);
            case TWO_ANSWERS -> server.setRespondingTwice(true);
        }
    }

    private static void stop(Fault.ServerTrouble trouble, FakeServer server) throws IOException {
        FaultProxy proxy = server.proxy();
        switch (trouble) {
            case HANG -> server.setHanging(false);
            case ERRORS -> server.setReturningErrors(false);
            case SILENT, ANSWERS_SILENT -> proxy.resetAll();
            case REFUSES -> proxy.setRefusing(false);
            case RESETS -> proxy.setResetInterval(0);
            case PIECES -> proxy.setFragmenting(false);
            case DELAY -> proxy.setDelay(0);
            case SPOILT -> server.setMalformingResponses(false);
            case TWO_ANSWERS -> server.setRespondingTwice(false);
        }
    }

    private void injectServerRemoval(Fault.ServerRemoval fault, long end) throws IOException, InterruptedException {
        FakeServer server = servers.get(fault.server());
        synchronized (server) {
            if (!discovery.isActive(server.name())) {
                return;
            }
            discovery.setStatus(server.name(), fault.immediate() ? "left" : "leaving");
        }
        // Half of the removed servers go on serving, so that the auditor sees the execution of late attempts.
        boolean rejecting = fault.length() % 2 == 0;
        sleepUntil(System.nanoTime() + SoakSettings.DRAIN_GRACE * 1_000_000L);
        server.setRejecting(rejecting);
        sleepUntil(Math.max(end, System.nanoTime()));
        server.setRejecting(false);
        discovery.setStatus(server.name(), "active");
    }

    private void injectDiscoveryFault(Fault.DiscoveryFault fault, long end) throws IOException, InterruptedException {
        switch (fault.trouble()) {
            case DOWN -> discovery.setDown(true);
            case CROWDED -> discovery.setOverloaded(true);
            case SLOW -> discovery.setSlow(true);
            case SILENT -> discovery.silenceUntil(end);
            case RESET -> discovery.resetWatches();
        }
        if (fault.trouble() == Fault.DiscoveryTrouble.CROWDED) {
            discovery.resetWatches();
        }
        sleepUntil(end);
        switch (fault.trouble()) {
            case DOWN -> discovery.setDown(false);
            case CROWDED -> discovery.setOverloaded(false);
            case SLOW -> discovery.setSlow(false);
            case SILENT, RESET -> {}
        }
    }

    private void injectSystemCallFault(Fault.SystemCallFault fault, long end) throws InterruptedException {
        SidecarProcess sidecar = sidecars.get(fault.sidecar());
        if (fault.trouble() == Fault.SystemCallTrouble.HELD_UP) {
            recorder.add(new Event.Exemption(System.nanoTime(), sidecar.name(), end + EXEMPT_AFTER_NANOS, "held-up"));
        }
        SystemCallFaults.start(fault, sidecar.shim());
        sleepUntil(end);
        SystemCallFaults.stop(fault, sidecar.shim());
    }

    /** Runs a task unless the process of this sidecar is already being stopped and started. */
    private void runExclusively(int sidecar, BackgroundTasks.Task task) throws IOException, InterruptedException {
        if (restarting.get(sidecar).compareAndSet(false, true)) {
            try {
                task.run();
            } finally {
                restarting.get(sidecar).set(false);
            }
        }
    }

    private void restart(SidecarProcess sidecar) throws IOException, InterruptedException {
        long signalledAt = System.nanoTime();
        sidecar.signal("TERM");
        sidecar.endWithin(MAX_SHUTDOWN_MILLISECONDS);
        if (sidecar.pausedUntil() > signalledAt) {
            // The paused process received SIGTERM late and had less time to shut down.
            recorder.add(new Event.Exemption(signalledAt, sidecar.name(), System.nanoTime(), "killed"));
        }
        sidecar.start();
    }

    private void crash(SidecarProcess sidecar) throws IOException, InterruptedException {
        long signalledAt = System.nanoTime();
        recorder.add(new Event.Exemption(signalledAt, sidecar.name(), signalledAt + EXEMPT_AFTER_NANOS, "killed"));
        sidecar.signal("KILL");
        sidecar.endWithin(MAX_SHUTDOWN_MILLISECONDS);
        // On a busy machine the kill command itself takes a while.
        recorder.add(new Event.Exemption(signalledAt, sidecar.name(), System.nanoTime(), "killed"));
        sidecar.start();
    }

    private void pause(SidecarProcess sidecar, long end) throws IOException, InterruptedException {
        if (end - System.nanoTime() > EXEMPT_AFTER_NANOS) {
            recorder.add(new Event.Exemption(System.nanoTime(), sidecar.name(), end, "paused"));
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

    private void floodConnections(Fault.ConnectionFlood fault, long end) throws IOException, InterruptedException {
        SidecarProcess sidecar = sidecars.get(fault.sidecar());
        // The sidecar frees the descriptors a while after the connections have ended.
        recorder.add(
                new Event.Exemption(System.nanoTime(), sidecar.name(), end + TimeUnit.SECONDS.toNanos(1), "crowd"));
        ClientApplication.floodConnections(sidecar, fault.clients(), end);
    }

    private static void sleepUntil(long time) throws InterruptedException {
        long remaining = (time - System.nanoTime()) / 1_000_000;
        if (remaining > 0) {
            Thread.sleep(remaining);
        }
    }
}
