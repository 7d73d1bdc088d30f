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

/** Runs a sidecar as a process: starts it, reloads it on SIGHUP, and shuts it down gracefully on SIGTERM. */
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
     * Serves until SIGTERM, whose handler exits the process. Returns only if the sidecar could not start, with the
     * reason written to standard error or to the log.
     *
     * @param environment environment variables of the process; LB_CONFIG names the configuration file
     * @param reloadSignal triggers a reload of the configuration file
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
        ConfigReloader reloader = new ConfigReloader(
                config, environment, log, reloaded -> context.runOnContext(v -> sidecar.reload(reloaded)));
        reloadSignal.setReloadAction(reloader::reload);
        reportIgnoredSignals();
        // SIGTERM is handled directly, and not by the shutdown hook alone. The process is killed a fixed time after the
        // signal, and each thread that the JVM runs between the signal and the hook may wait for a core.
        sun.misc.Signal.handle(new sun.misc.Signal("TERM"), signal -> shutDown(context));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(context)));
        await(startFailed);
        log.flush();
    }

    /**
     * Logs ignored signals as an error. The JVM cannot undo the parent's setting, so the operators have to know that
     * reloads, or the request to shut down, will be lost.
     */
    private void reportIgnoredSignals() {
        List<HandledSignal> ignored = IgnoredSignals.ofThisProcess();
        counters.registerGauge("ignored_signals", ignored::size);
        if (!ignored.isEmpty()) {
            log.add(() -> Logger.error("serve code=signals-ignored signals={}", ignored));
        }
    }

    /**
     * Drains the sidecar on SIGTERM and exits, at the latest shortly before the operators kill the process. Further
     * signals have no effect. Does nothing if the start has failed.
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
        // The JVM's own exit on SIGTERM has status 143, which would look like a failure.
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
