package trestlegrade.lab.soak;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** The threads of one run. A task ends when it returns, when its socket is closed, or at the end of the run. */
final class BackgroundTasks implements AutoCloseable {
    private static final long STACK_BYTES = 256 << 10;

    /** A task that blocks on sockets or sleeps. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(null, work, "soak", STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    });

    /** Starts a task on a separate thread; does nothing after the end of the run. */
    void run(String name, Task task) {
        if (threads.isShutdown()) {
            return;
        }
        threads.execute(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer closed the socket, or the run has ended.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                Logger.error(e, "soak code=task-failed task={}", name);
            }
        });
    }

    @Override
    public void close() {
        threads.shutdownNow();
        try {
            threads.awaitTermination(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
