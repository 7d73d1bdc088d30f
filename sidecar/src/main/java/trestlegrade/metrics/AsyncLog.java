package trestlegrade.metrics;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes the log on a thread of its own. While nobody reads the log, lines wait; when too many do, further ones are
 * counted and dropped: neither the event loop nor the memory may depend on who reads.
 */
public final class AsyncLog {
    // Half a megabyte of lines, a minute of a busy sidecar.
    private static final int MOST = 2048;
    private static final long LAST_WORDS = 300;

    private final BlockingQueue<Runnable> lines = new ArrayBlockingQueue<>(MOST);
    private final AtomicLong dropped = new AtomicLong();

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

    public void add(Runnable line) {
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    public long dropped() {
        return dropped.get();
    }

    /** Waits until all is written, but no longer than the program's end can. */
    public void flush() {
        CountDownLatch written = new CountDownLatch(1);
        add(written::countDown);
        try {
            written.await(LAST_WORDS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
