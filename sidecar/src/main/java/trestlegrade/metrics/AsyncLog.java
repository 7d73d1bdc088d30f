package trestlegrade.metrics;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a dedicated thread. While nobody reads the log, its pipe is full and writes block. Lines are
 * queued then, and once the queue is full further lines are dropped and counted, so that neither the event loop nor the
 * memory in use depends on the reader. Thread-safe.
 */
public final class AsyncLog {
    /** About half a megabyte of lines. */
    private static final int MAX_QUEUED_LINES = 2048;

    private static final long FLUSH_TIMEOUT_MILLIS = 300;

    private final BlockingQueue<Runnable> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();

    /** Starts the writer thread, a daemon that does not keep the process alive. */
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

    /** Queues a line, given as the action that writes it on the writer thread; drops it if the queue is full. */
    public void add(Runnable line) {
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of lines dropped since the start. */
    public long dropped() {
        return dropped.get();
    }

    /** Waits until all queued lines are written, with a timeout that the shutdown of the process can afford. */
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
