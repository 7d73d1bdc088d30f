package trestlegrade.memory;

import java.util.EnumMap;
import java.util.Map;

/**
 * Limits the total memory of all messages in one direction, requests or responses, from their first byte until nothing
 * needs them. Without a limit, input could exhaust the heap, which ends the process. Not thread-safe: all methods are
 * called on the event loop.
 *
 * <p>All uses share one limit, within which a use may have a lower limit of its own. A part of the limit is reserved
 * for small claims, so that neither long messages nor what clients send ahead keep a short request from being read.
 */
public final class MessageMemoryBudget {

    /** What memory is held for. */
    public enum Use {
        /** The head of a message that has been passed on. */
        HEAD,
        /** The body of a message whose head has been passed on. */
        BODY,
        /** Requests behind an open request of the same client. */
        PIPELINED,
        /** The text of a head or the fields of a trailer that are not complete. */
        INCOMPLETE
    }

    private static final long MAX_SMALL_CLAIM_BYTES = 16 << 10;
    private static final double REQUESTS_HEAP_FRACTION = 0.4;
    private static final double RESPONSES_HEAP_FRACTION = 0.3;
    private static final double REQUEST_BODIES_HEAP_FRACTION = 0.3;
    private static final double SMALL_REQUESTS_HEAP_FRACTION = 0.05;
    private static final double PIPELINED_HEAP_FRACTION = 0.1;

    private final long limitBytes;
    private final long reservedBytes;
    private final Map<Use, Long> limits = new EnumMap<>(Use.class);
    private final Map<Use, Long> claimed = new EnumMap<>(Use.class);
    private long totalClaimedBytes;

    /**
     * Creates a budget whose uses have no limits of their own.
     *
     * @param reservedBytes the part of the limit that only claims of up to 16 KiB may use
     */
    public MessageMemoryBudget(long limitBytes, long reservedBytes) {
        this.limitBytes = limitBytes;
        this.reservedBytes = reservedBytes;
        for (Use use : Use.values()) {
            limits.put(use, limitBytes);
            claimed.put(use, 0L);
        }
    }

    /** Creates the budget for the requests of clients, as fractions of the maximum heap size. */
    public static MessageMemoryBudget forRequests() {
        return new MessageMemoryBudget(ofHeap(REQUESTS_HEAP_FRACTION), ofHeap(SMALL_REQUESTS_HEAP_FRACTION))
                .withLimit(Use.BODY, ofHeap(REQUEST_BODIES_HEAP_FRACTION))
                .withLimit(Use.PIPELINED, ofHeap(PIPELINED_HEAP_FRACTION));
    }

    /** Creates the budget for the responses of endpoints, as a fraction of the maximum heap size. */
    public static MessageMemoryBudget forResponses() {
        return new MessageMemoryBudget(ofHeap(RESPONSES_HEAP_FRACTION), 0);
    }

    private static long ofHeap(double fraction) {
        return (long) (fraction * Runtime.getRuntime().maxMemory());
    }

    /** Sets the limit of one use. Returns this budget. */
    MessageMemoryBudget withLimit(Use use, long bytes) {
        limits.put(use, bytes);
        return this;
    }

    /** Returns the total number of bytes of all claims. */
    public long claimedBytes() {
        return totalClaimedBytes;
    }

    /** Returns the total number of bytes of all claims for one use. */
    public long claimedBytes(Use use) {
        return claimed.get(use);
    }

    /** Creates a claim that holds no memory at first. */
    public Claim claim(Use use) {
        return new Claim(use);
    }

    private boolean mayGrow(Use use, long addedBytes, long newBytes) {
        long newTotalBytes = totalClaimedBytes + addedBytes;
        if (newBytes <= MAX_SMALL_CLAIM_BYTES && use != Use.PIPELINED) {
            return newTotalBytes <= limitBytes;
        }
        return newTotalBytes <= limitBytes - reservedBytes && claimed.get(use) + addedBytes <= limits.get(use);
    }

    /** Memory that is held for one use until it is released. */
    public final class Claim {
        private final Use use;
        private long bytes;

        private Claim(Use use) {
            this.use = use;
        }

        /** Returns the bytes of this claim. */
        public long bytes() {
            return bytes;
        }

        /**
         * Sets the size of the claim. Returns false, and leaves the claim unchanged, if it would have to grow beyond
         * the budget.
         */
        public boolean resize(long newBytes) {
            long added = newBytes - bytes;
            if (added == 0) {
                return true;
            }
            if (added > 0 && !mayGrow(use, added, newBytes)) {
                return false;
            }
            totalClaimedBytes += added;
            claimed.merge(use, added, Long::sum);
            bytes = newBytes;
            return true;
        }

        /** Grows the claim to at least the given size; returns as {@link #resize} does. */
        public boolean grow(long requiredBytes) {
            return requiredBytes <= bytes || resize(requiredBytes);
        }

        /** Releases all memory of the claim. Further calls do nothing. */
        public void release() {
            resize(0);
        }
    }
}
