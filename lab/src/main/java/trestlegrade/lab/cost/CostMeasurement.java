package trestlegrade.lab.cost;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeoutException;

/** Runs the scenarios of the cost measurement, each with a new sidecar. */
final class CostMeasurement {
    /** The pause between the last response and the reading of the processor time. */
    private static final long SETTLE_MILLIS = 100;

    private static final long BEFORE_IDLE_MILLIS = 2_000;
    private static final int IDLE_SECONDS = 10;

    private final Path root;
    private final CostTable table;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final OpenLoopLoad load = new OpenLoopLoad(threads);
    private volatile MeasuredSidecar sidecar;

    /** Measures the built program under this root. */
    CostMeasurement(Path root, CostTable table) {
        this.root = root;
        this.table = table;
    }

    /** Runs all scenarios. A sidecar does not outlive this program, even if a signal ends it. */
    void run() throws IOException, InterruptedException, ExecutionException, TimeoutException {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            if (sidecar != null) {
                sidecar.kill();
            }
        }));
        FakeServices.configureHttpServer();
        FakeServices services = new FakeServices(threads);
        table.header();
        try {
            measureStartIdleAndLowLoad(services);
            measureModerateLoad(services);
            measureHighLoad(services);
        } finally {
            threads.shutdownNow();
        }
    }

    private void measureStartIdleAndLowLoad(FakeServices services)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        long start = System.nanoTime();
        try (LoadClient client = start(services)) {
            table.row("a start, until ready", sidecar.processorMillis(), "ms");
            table.row("  its real time", (System.nanoTime() - start) / 1e6, "ms real");
            table.row("  resident memory", sidecar.residentMegabytes(), "MB");
            table.row("  threads", sidecar.threads(), "");
            Thread.sleep(BEFORE_IDLE_MILLIS);
            double before = sidecar.processorMillis();
            Thread.sleep(IDLE_SECONDS * 1_000L);
            table.row("an idle second", (sidecar.processorMillis() - before) / IDLE_SECONDS, "ms");
            measure("a transaction at 10 a second, the first 200", 200, 10, client::sendOnKeptConnection);
            end("at 10 a second", client);
        }
    }

    private void measureModerateLoad(FakeServices services)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        try (LoadClient client = start(services)) {
            measure("a transaction at 30 a second, the first 200", 200, 30, client::sendOnKeptConnection);
            load.run(1_800, 100, client::sendOnKeptConnection);
            settle();
            measure("a transaction at 30 a second, after 2,000", 300, 30, client::sendOnKeptConnection);
            end("at 30 a second", client);
        }
    }

    private void measureHighLoad(FakeServices services)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        try (LoadClient client = start(services)) {
            measure("a transaction at 100 a second, the first 200", 200, 100, client::sendOnKeptConnection);
            load.run(1_800, 100, client::sendOnKeptConnection);
            settle();
            measure("a transaction at 100 a second, after 2,000", 1_000, 100, client::sendOnKeptConnection);
            measure("a transaction at 10 a second, after 3,000", 100, 10, client::sendOnKeptConnection);
            measure("a new connection of a client, with its transaction", 200, 20, client::sendOnNewConnection);
            measure("a bad client", 200, 20, client::sendMalformed);
            measure("a line of the list, one entry", 200, 20, services::sendUpdate);
            table.row("resident memory at the end", sidecar.residentMegabytes(), "MB");
            end("at 100 a second", client);
        }
    }

    private LoadClient start(FakeServices services) throws IOException, InterruptedException {
        sidecar = MeasuredSidecar.start(root, services.discoveryPort());
        sidecar.awaitReady();
        return new LoadClient(sidecar.port());
    }

    /** Adds a row with the average processor time that the sidecar uses for one of these tasks. */
    private void measure(String label, int count, double perSecond, Runnable task)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        double before = sidecar.processorMillis();
        load.run(count, perSecond, task);
        settle();
        table.row(label, (sidecar.processorMillis() - before) / count, "ms");
    }

    private static void settle() throws InterruptedException {
        Thread.sleep(SETTLE_MILLIS);
    }

    private void end(String scenario, LoadClient client) throws InterruptedException {
        table.notCommitted(scenario, client.notCommitted());
        client.close();
        sidecar.end();
    }
}
