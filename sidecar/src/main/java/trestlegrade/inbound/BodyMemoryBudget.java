package trestlegrade.inbound;

/**
 * Bounds the memory that the bodies of one kind, of requests or of responses, take together. Without it load could fill
 * the heap, at which the process ends. Not thread-safe: called on the event loop.
 */
public final class BodyMemoryBudget {
    private static final int MIN_BUFFER_BYTES = 64;

    private final long limitBytes;
    private long heldBytes;

    /** A budget of so many bytes. */
    public BodyMemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** A budget of this fraction of the heap's maximum. */
    public static BodyMemoryBudget ofHeap(double fraction) {
        return new BodyMemoryBudget((long) (fraction * Runtime.getRuntime().maxMemory()));
    }

    /** The bytes of all claims together. */
    public long claimedBytes() {
        return heldBytes;
    }

    /** A claim of one body, which holds nothing at first. */
    public Claim claim() {
        return new Claim();
    }

    /** The memory of one body, until it is released. */
    public final class Claim {
        private long bytes;

        private Claim() {}

        /** Grows the claim for a body of {@code length} bytes; false, and unchanged, if the budget has no room. */
        public boolean grow(int length) {
            long wanted = bufferCapacity(length);
            if (wanted <= bytes) {
                return true;
            }
            if (heldBytes - bytes + wanted > limitBytes) {
                return false;
            }
            heldBytes += wanted - bytes;
            bytes = wanted;
            return true;
        }

        /** Gives all of it back. Further calls do nothing. */
        public void release() {
            heldBytes -= bytes;
            bytes = 0;
        }
    }

    /** A buffer that grows doubles its capacity. */
    private static long bufferCapacity(int length) {
        return length <= MIN_BUFFER_BYTES ? MIN_BUFFER_BYTES : 2L * Integer.highestOneBit(length - 1);
    }
}
