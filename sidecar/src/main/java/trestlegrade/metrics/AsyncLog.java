package trestlegrade.metrics;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a thread of its own. While nobody reads the log its pipe is full and a write blocks: lines wait
 * then, and once too many wait further ones are counted and dropped, so that neither the event loop nor the memory
 * depends on the reader. Safe for use by any thread.
 */
public final class AsyncLog {
    /** About half a megabyte of lines. */
    private static final int MAX_WAITING_LINES = 2048;

    private static final long FLUSH_TIMEOUT_MILLIS = 300;

    private final BlockingQueue<Runnable> lines = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
    private final AtomicLong dropped = new AtomicLong();

    /** A log with its thread running; the thread does not keep the program alive. */
    public AsyncLog() {
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    private void write() {
        try {
            while (true) {
                lines.take().run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Appends a line: an action that writes it, run on the log's thread. */
    public void add(Runnable line) {
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Lines dropped since the start. */
    public long dropped() {
        return dropped.get();
    }

    /** Waits until all lines are written, but no longer than the end of the program can wait. */
    public void flush() {
        CountDownLatch written = new CountDownLatch(1);
        add(written::countDown);
        try {
            written.await(FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
