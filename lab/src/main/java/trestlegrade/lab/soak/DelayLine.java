package trestlegrade.lab.soak;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The chunks in transit in one direction of a link. Each chunk is due a fixed delay after its arrival, so that a delay
 * keeps the gaps between chunks. Not thread-safe.
 */
final class DelayLine {
    /**
     * Bytes in transit; none for the end of the stream.
     *
     * @param due when the chunk is to be delivered, in nanoseconds of the monotonic clock
     * @param resetAfter whether its delivery is followed by a reset
     */
    record Chunk(byte[] bytes, long due, boolean resetAfter) {}

    private static final int HELD_POLL_MILLISECONDS = 5;

    private final Deque<Chunk> chunks = new ArrayDeque<>();

    /** Adds the first {@code count} bytes of the array, which arrived at {@code now}. */
    void add(byte[] bytes, int count, long now, int delayMilliseconds, boolean resetAfter) {
        long due = now + TimeUnit.MILLISECONDS.toNanos(delayMilliseconds);
        chunks.add(new Chunk(Arrays.copyOf(bytes, count), due, resetAfter));
    }

    boolean isEmpty() {
        return chunks.isEmpty();
    }

    /** Removes and returns the first chunk if it is due, else returns null. */
    Chunk pollDue(long now) {
        return chunks.isEmpty() || chunks.peekFirst().due > now ? null : chunks.pollFirst();
    }

    /**
     * How long to wait before the next poll: until the first chunk is due, or a few milliseconds if it is already due
     * and is being held back; 0 if there is no chunk.
     */
    int millisecondsToNext(long now) {
        if (chunks.isEmpty()) {
            return 0;
        }
        long remaining = chunks.peekFirst().due - now;
        return remaining <= 0 ? HELD_POLL_MILLISECONDS : (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(remaining));
    }
}
