package trestlegrade.inbound;

/**
 * Bounds the memory that the bodies of one kind, of requests or of answers, take together. What would go over the bound
 * is refused by whoever asks, so that no load can fill the heap, at which the runtime ends the process.
 */
public final class BodyMemoryBudget {
    private static final int LEAST = 64;

    private final long most;
    private long held;

    public BodyMemoryBudget(long most) {
        this.most = most;
    }

    /** A part of the heap. */
    public static BodyMemoryBudget ofHeap(double part) {
        return new BodyMemoryBudget((long) (part * Runtime.getRuntime().maxMemory()));
    }

    public long held() {
        return held;
    }

    public Claim claim() {
        return new Claim();
    }

    /** What one body holds, until it is released. */
    public final class Claim {
        private long bytes;

        private Claim() {}

        /** Whether the body may grow to this length; a buffer that grows doubles. */
        public boolean grow(int length) {
            long wanted = capacity(length);
            if (wanted <= bytes) {
                return true;
            }
            if (held - bytes + wanted > most) {
                return false;
            }
            held += wanted - bytes;
            bytes = wanted;
            return true;
        }

        /** Once more does nothing. */
        public void release() {
            held -= bytes;
            bytes = 0;
        }
    }

    private static long capacity(int length) {
        return length <= LEAST ? LEAST : 2L * Integer.highestOneBit(length - 1);
    }
}
