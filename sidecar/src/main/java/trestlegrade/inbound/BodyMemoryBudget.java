package trestlegrade.inbound;

/**
 * Limits the total memory of all bodies of one kind, either of requests or of responses. Without a limit, load could
 * exhaust the heap, which ends the process. Not thread-safe: all methods are called on the event loop.
 */
public final class BodyMemoryBudget {
    private static final int MIN_BUFFER_BYTES = 64;

    private final long limitBytes;
    private long claimedBytes;

    /** Creates a budget of {@code limitBytes} bytes. */
    public BodyMemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Creates a budget of a fraction of the maximum heap size. */
    public static BodyMemoryBudget ofHeap(double fraction) {
        return new BodyMemoryBudget((long) (fraction * Runtime.getRuntime().maxMemory()));
    }

    /** Returns the total number of bytes of all claims. */
    public long claimedBytes() {
        return claimedBytes;
    }

    /** Creates the claim of one body, which holds no memory at first. */
    public Claim claim() {
        return new Claim();
    }

    /** The memory that one body holds until it is released. */
    public final class Claim {
        private long bytes;

        private Claim() {}

        /**
         * Grows the claim to hold a body of {@code length} bytes. Returns false, and leaves the claim unchanged, if
         * that would exceed the budget.
         */
        public boolean grow(int length) {
            long requiredBytes = bufferCapacity(length);
            if (requiredBytes <= bytes) {
                return true;
            }
            if (claimedBytes - bytes + requiredBytes > limitBytes) {
                return false;
            }
            claimedBytes += requiredBytes - bytes;
            bytes = requiredBytes;
            return true;
        }

        /** Releases all memory of the claim. Further calls do nothing. */
        public void release() {
            claimedBytes -= bytes;
            bytes = 0;
        }
    }

    /** Returns the capacity of a buffer with {@code length} bytes. A growing buffer doubles its capacity. */
    private static long bufferCapacity(int length) {
        return length <= MIN_BUFFER_BYTES ? MIN_BUFFER_BYTES : 2L * Integer.highestOneBit(length - 1);
    }
}
