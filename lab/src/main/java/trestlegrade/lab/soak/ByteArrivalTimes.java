package trestlegrade.lab.soak;

import java.util.Map;
import java.util.TreeMap;

/** When the bytes of a stream came, kept for the latest part of it. */
final class ByteArrivalTimes {
    private static final int KEPT = 256;

    /** The place behind the last byte of each chunk, and the chunk's time. */
    private final TreeMap<Long, Long> ends = new TreeMap<>();

    private long length;

    /** Notes that so many further bytes came at this time, in nanoseconds. */
    synchronized void add(int count, long at) {
        length += count;
        ends.put(length, at);
        if (ends.size() > KEPT) {
            ends.pollFirstEntry();
        }
    }

    /**
     * When the byte at this place came, in nanoseconds.
     *
     * @throws IllegalArgumentException if it has not come
     */
    synchronized long timeOf(long offset) {
        Map.Entry<Long, Long> chunk = ends.higherEntry(offset);
        if (chunk == null) {
            throw new IllegalArgumentException("no byte at " + offset + " of " + length);
        }
        return chunk.getValue();
    }
}
