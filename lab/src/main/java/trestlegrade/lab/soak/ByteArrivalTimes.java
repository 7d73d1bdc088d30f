package trestlegrade.lab.soak;

import java.util.Map;
import java.util.TreeMap;

/** The arrival times of the bytes of a stream, kept for its latest chunks. */
final class ByteArrivalTimes {
    private static final int MAX_CHUNKS = 256;

    /** The arrival time of each chunk by the offset of the byte after it. */
    private final TreeMap<Long, Long> arrivalByEndOffset = new TreeMap<>();

    private long totalBytes;

    /** Records that {@code count} more bytes arrived at this time, in nanoseconds. */
    synchronized void add(int count, long at) {
        totalBytes += count;
        arrivalByEndOffset.put(totalBytes, at);
        if (arrivalByEndOffset.size() > MAX_CHUNKS) {
            arrivalByEndOffset.pollFirstEntry();
        }
    }

    /**
     * Returns when the byte at this offset arrived, in nanoseconds. For an offset in a chunk that is no longer kept it
     * returns the time of the earliest chunk that is.
     *
     * @throws IllegalArgumentException if the byte has not arrived
     */
    synchronized long timeOf(long offset) {
        Map.Entry<Long, Long> chunk = arrivalByEndOffset.higherEntry(offset);
        if (chunk == null) {
            throw new IllegalArgumentException("offset " + offset + ", but only " + totalBytes + " bytes arrived");
        }
        return chunk.getValue();
    }
}
