package trestlegrade.policy.random;

import java.util.zip.CRC32;

/**
 * Random numbers that depend on the seed and the number of calls alone, and positions on the hash ring that depend on
 * neither. Not thread-safe.
 *
 * <p>A given seed yields the same decisions on every run, on every JVM; every sidecar computes the same positions.
 */
public final class SeededRandom {
    /** The odd number nearest to 2^64 over the golden ratio, the multiplier of Fibonacci hashing. */
    private static final long FIBONACCI_MULTIPLIER = 0x9E3779B97F4A7C15L;
    /** Positions on the hash ring: 0 up to but not including 2^32. */
    private static final double POSITIONS = 4294967296.0;

    private final long seed;
    private final CRC32 crc = new CRC32();
    private final byte[] input = new byte[2 * Long.BYTES];
    private long drawn;

    /** Starts the sequence of this seed. */
    public SeededRandom(long seed) {
        this.seed = seed;
    }

    /** Returns the next random number, from 0 up to but not including 1. */
    public double next() {
        return position(seed, drawn++) / POSITIONS;
    }

    /**
     * Returns the ring position of a pair, one of 2^32; it is the same at every sidecar and draws no random number.
     *
     * <p>CRC-32 is linear: without the multiplication the points of one endpoint are the points of any other shifted by
     * a constant, and the parts of the ring that endpoints own become very uneven.
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
