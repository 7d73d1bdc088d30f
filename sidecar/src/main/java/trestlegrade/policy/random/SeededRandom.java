package trestlegrade.policy.random;

import java.util.zip.CRC32;

/** Chance that depends on the seed and on how often it was asked, and positions that depend on neither. */
public final class SeededRandom {
    // The odd number nearest to 2^64 over the golden ratio, as in Fibonacci hashing.
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private final long seed;
    private final CRC32 crc = new CRC32();
    private final byte[] input = new byte[16];
    private long drawn;

    public SeededRandom(long seed) {
        this.seed = seed;
    }

    /** A number from 0 up to but not including 1. */
    public double next() {
        return position(seed, drawn++) / 4294967296.0;
    }

    /**
     * Where the pair lies among 2^32 positions, the same at every sidecar. CRC-32 is linear: unmixed, all servers'
     * points were translates of each other and some servers had three times their part of the ring.
     */
    public long position(long a, long b) {
        for (int i = 0; i < 8; i++) {
            input[i] = (byte) (a >>> (8 * i));
            input[8 + i] = (byte) (b >>> (8 * i));
        }
        crc.reset();
        crc.update(input, 0, 16);
        return (crc.getValue() * MIX) >>> 32;
    }
}
