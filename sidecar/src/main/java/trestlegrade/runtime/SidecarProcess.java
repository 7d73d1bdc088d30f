package trestlegrade.runtime;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;
import trestlegrade.config.SidecarConfig;
import trestlegrade.config.SidecarConfigReader;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;
import trestlegrade.runtime.IgnoredSignals.HandledSignal;

/** A sidecar as a process of its own: it starts, reloads on SIGHUP, and shuts down gracefully on SIGTERM. */
public final class SidecarProcess {
    private final Map<String, String> environment;
    private final ReloadSignal reloadSignal;
    private final SidecarConfig config;
    private final AsyncLog log = new AsyncLog();
    private final Counters counters = new Counters(log);
    private final Sidecar sidecar;
    private final CountDownLatch drained = new CountDownLatch(1);
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CountDownLatch startFailed = new CountDownLatch(1);

    private SidecarProcess(SidecarConfig config, Map<String, String> environment, ReloadSignal reloadSignal) {
        this.reloadSignal = reloadSignal;
        this.config = config;
        this.environment = environment;
        sidecar = new Sidecar(config, counters);
    }

    /**
     * Serves until SIGTERM, which ends the program from inside. Returns only if the sidecar could not start; the reason
     * is on the standard error output or in the log.
     *
     * @param environment the variables of the process; LB_CONFIG names the configuration file
     * @param reloadSignal has the file read again
     */
    public static void serve(Map<String, String> environment, ReloadSignal reloadSignal) {
        SidecarConfig config;
        try {
            config = SidecarConfigReader.read(environment);
        } catch (RuntimeException e) {
            System.err.println("serve: " + e.getMessage());
            return;
        }
        new SidecarProcess(config, environment, reloadSignal).run();
    }

    private void run() {
        Vertx vertx = sidecar.createVertx();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(v -> {
            try {
                sidecar.start(vertx, context).onFailure(e -> startFailed.countDown());
            } catch (RuntimeException e) {
                log.add(() -> Logger.error(e, "serve code=start-failed"));
                startFailed.countDown();
            }
        });
        ConfigReloader reloader =
                new ConfigReloader(config, environment, log, read -> context.runOnContext(v -> sidecar.reload(read)));
        reloadSignal.whenReceived(reloader::reload);
        reportIgnoredSignals();
        // Not by the shutdown hook alone: the kill comes a fixed time after the signal, and each thread between the two
        // may wait for a core.
        sun.misc.Signal.handle(new sun.misc.Signal("TERM"), signal -> shutDown(context));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(context)));
        await(startFailed);
        log.flush();
    }

    /** The JVM can't undo it, so that the operators have to be told: reloads or the word to end would be lost. */
    private void reportIgnoredSignals() {
        List<HandledSignal> ignored = IgnoredSignals.ofThisProcess();
        counters.registerGauge("ignored_signals", ignored::size);
        if (!ignored.isEmpty()) {
            log.add(() -> Logger.error("serve code=signals-ignored signals={}", ignored));
        }
    }

    /**
     * SIGTERM: goes on serving through the phases of the graceful shutdown, until just before the operators kill the
     * process at the latest. Further signals change nothing.
     */
    private void shutDown(Context context) {
        if (startFailed.getCount() == 0) {
            return;
        }
        if (draining.compareAndSet(false, true)) {
            context.runOnContext(v -> sidecar.drain(drained::countDown));
        }
        await(drained);
        log.add(() ->
                Logger.info("serve code=ended counters={}", counters.report().encode()));
        log.flush();
        // A JVM that SIGTERM ends exits with 143, which would look like a fault.
        Runtime.getRuntime().halt(0);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
