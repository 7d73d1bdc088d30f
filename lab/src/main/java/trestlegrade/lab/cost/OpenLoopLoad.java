package trestlegrade.lab.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Starts tasks at a fixed rate, whether or not earlier ones have ended (an open loop). */
final class OpenLoopLoad {
    private static final long TASK_TIMEOUT_SECONDS = 10;

    private final ExecutorService threads;

    OpenLoopLoad(ExecutorService threads) {
        this.threads = threads;
    }

    /**
     * Starts {@code count} tasks at this rate and waits until all have ended.
     *
     * @throws ExecutionException if a task failed
     * @throws TimeoutException if a task did not end within 10 s after the task before it
     */
    void run(int count, double perSecond, Runnable task)
            throws InterruptedException, ExecutionException, TimeoutException {
        long start = System.nanoTime();
        List<Future<?>> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long due = start + (long) (i * 1e9 / perSecond);
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
            started.add(threads.submit(task));
        }
        for (Future<?> each : started) {
            each.get(TASK_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }
}
