package trestlegrade.policy.random;

import java.util.zip.CRC32;

/**
 * Generates random numbers that depend only on the seed and the number of calls, and positions on the hash ring that
 * depend on neither. Not thread-safe.
 *
 * <p>A given seed yields the same decisions in every run and on every JVM. All sidecars compute the same positions.
 */
public final class SeededRandom {
    /** The odd number nearest to 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing. */
    private static final long FIBONACCI_MULTIPLIER = 0x9E3779B97F4A7C15L;
    /** Number of positions on the hash ring, which are 0 to 2^32 - 1. */
    private static final double POSITION_COUNT = 4294967296.0;

    private final long seed;
    private final CRC32 crc = new CRC32();
    private final byte[] input = new byte[2 * Long.BYTES];
    private long drawCount;

    /** Starts the sequence of the given seed. */
    public SeededRandom(long seed) {
        this.seed = seed;
    }

    /** Returns the next random number, at least 0 and less than 1. */
    public double next() {
        return position(seed, drawCount++) / POSITION_COUNT;
    }

    /**
     * Returns the ring position of a pair of numbers. It is the same at every sidecar and draws no random number.
     *
     * <p>CRC-32 is linear: without the multiplication the points of one endpoint would be the points of any other one
     * shifted by a constant, and the shares of the ring that belong to the endpoints would be very uneven.
     */
    public long position(long first, long second) {
        for (int i = 0; i < Long.BYTES; i++) {
            input[i] = (byte) (first >>> (8 * i));
            input[Long.BYTES + i] = (byte) (second >>> (8 * i));
        }
        crc.reset();
        crc.update(input, 0, input.length);
        return (crc.getValue() * FIBONACCI_MULTIPLIER) >>> 32;
    }
}
