package trestlegrade.memory;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Estimates the heap of the lines that an HTTP decoder has parsed and not passed on yet: the fields of a head or of a
 * trailer. The decoder keeps them until the last one has arrived.
 */
public final class ParsedInput {
    private long bytes;

    /** Returns the estimate in bytes. */
    public long bytes() {
        return bytes;
    }

    /** Called after the decoder has passed on what it had parsed. */
    public void passedOn() {
        bytes = 0;
    }

    /**
     * Called after the decoder has consumed input and passed nothing on.
     *
     * @param input what the decoder reads from; its reader index is behind the consumed bytes
     * @param start the reader index before them
     */
    public void consumed(ByteBuf input, int start) {
        int length = input.readerIndex() - start;
        bytes += length + (long) HeadMemory.FIELD_BYTES * lineCount(input, start, length);
    }

    private static int lineCount(ByteBuf input, int start, int length) {
        int count = 0;
        int end = start + length;
        int lineEnd = input.forEachByte(start, length, ByteProcessor.FIND_LF);
        while (lineEnd >= 0) {
            count++;
            lineEnd = input.forEachByte(lineEnd + 1, end - lineEnd - 1, ByteProcessor.FIND_LF);
        }
        return count;
    }
}
