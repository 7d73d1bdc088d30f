package trestlegrade.memory;

import trestlegrade.memory.MessageMemoryBudget.Claim;
import trestlegrade.memory.MessageMemoryBudget.Use;

/** The memory that the head and the body of one message hold until it is released. */
public final class MessageMemory {
    private static final int MIN_BUFFER_BYTES = 64;

    private final Claim head;
    private final Claim body;

    /** Creates the memory of a message of which nothing has been read. */
    public MessageMemory(MessageMemoryBudget budget) {
        head = budget.claim(Use.HEAD);
        body = budget.claim(Use.BODY);
    }

    /** Sets the size of the head. Returns false, and changes nothing, if the budget does not suffice. */
    public boolean resizeHead(long bytes) {
        return head.resize(bytes);
    }

    /**
     * Grows the memory to hold a body of {@code length} bytes. Returns false, and changes nothing, if the budget does
     * not suffice.
     */
    public boolean growBody(int length) {
        return body.grow(bufferCapacity(length));
    }

    /** Returns the memory of head and body in bytes. */
    public long bytes() {
        return head.bytes() + body.bytes();
    }

    /** Releases all memory. Further calls do nothing. */
    public void release() {
        head.release();
        body.release();
    }

    /** Returns the capacity of a buffer with {@code length} bytes. A growing buffer doubles its capacity. */
    private static long bufferCapacity(int length) {
        return length <= MIN_BUFFER_BYTES ? MIN_BUFFER_BYTES : 2L * Integer.highestOneBit(length - 1);
    }
}
