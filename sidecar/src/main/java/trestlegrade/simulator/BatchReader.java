package trestlegrade.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads batches from the simulator, and the fields of their records in order. A batch consists of a header (size of the
 * records in bytes u32, number of records u32, clock f64 ms) and the records. All numbers are big-endian.
 *
 * <p>The methods that read a field throw {@link BufferUnderflowException} past the end of the batch.
 */
final class BatchReader {
    private static final int HEADER_BYTES = 16;
    private static final int SIZE_OFFSET = 0;
    private static final int RECORD_COUNT_OFFSET = 4;
    private static final int CLOCK_OFFSET = 8;
    private static final int INITIAL_CAPACITY = 1 << 16;
    private static final double CLOCK_LIMIT_MILLIS = 1e15;
    private static final int TICKS_PER_MILLISECOND = 10;

    private final InputStream in;
    private ByteBuffer batch = ByteBuffer.allocate(INITIAL_CAPACITY);

    BatchReader(InputStream in) {
        this.in = in;
    }

    /**
     * Reads the next batch, or returns false at the end of the input.
     *
     * @throws MalformedFrameException if the input ends within the batch
     */
    boolean next() throws IOException {
        int bytesRead = in.readNBytes(batch.array(), 0, HEADER_BYTES);
        if (bytesRead == 0) {
            return false;
        }
        if (bytesRead < HEADER_BYTES) {
            throw new MalformedFrameException("input ends within a batch header");
        }
        int size = batch.getInt(SIZE_OFFSET);
        if (size < 0) {
            throw new MalformedFrameException("batch size out of range: " + Integer.toUnsignedString(size) + " bytes");
        }
        if (size > batch.capacity() - HEADER_BYTES) {
            grow(size);
        }
        if (in.readNBytes(batch.array(), HEADER_BYTES, size) < size) {
            throw new MalformedFrameException("input ends within a batch");
        }
        batch.limit(HEADER_BYTES + size).position(HEADER_BYTES);
        return true;
    }

    private void grow(int size) {
        ByteBuffer larger = ByteBuffer.allocate(Math.addExact(Math.max(size, size / 2 * 3), HEADER_BYTES));
        System.arraycopy(batch.array(), 0, larger.array(), 0, HEADER_BYTES);
        batch = larger;
    }

    int recordCount() {
        return batch.getInt(RECORD_COUNT_OFFSET);
    }

    /** Returns the clock of the batch in ticks. */
    long clockTicks() throws MalformedFrameException {
        double clockMillis = batch.getDouble(CLOCK_OFFSET);
        if (!(Math.abs(clockMillis) < CLOCK_LIMIT_MILLIS)) {
            throw new MalformedFrameException("batch clock out of range: " + clockMillis + " ms");
        }
        return toTicks(clockMillis);
    }

    int remaining() {
        return batch.remaining();
    }

    EventCode code() throws MalformedFrameException {
        return EventCode.of(batch.getShort());
    }

    int u8() {
        return Byte.toUnsignedInt(batch.get());
    }

    int u16() {
        return Short.toUnsignedInt(batch.getShort());
    }

    long u32() {
        return Integer.toUnsignedLong(batch.getInt());
    }

    /** Reads a u32 that is a length or an index; the result is negative if the value is 2^31 or more. */
    int i32() {
        return batch.getInt();
    }

    long u64() {
        return batch.getLong();
    }

    float f32() {
        return batch.getFloat();
    }

    double f64() {
        return batch.getDouble();
    }

    /** Reads a time in milliseconds and returns it in whole ticks. */
    long ticks() {
        return toTicks(batch.getDouble());
    }

    String text() {
        int length = i32();
        if (length < 0 || length > batch.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] text = new byte[length];
        batch.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    void skip(int bytes) {
        if (bytes > batch.remaining()) {
            throw new BufferUnderflowException();
        }
        batch.position(batch.position() + bytes);
    }

    static long toTicks(double milliseconds) {
        return Math.round(milliseconds * TICKS_PER_MILLISECOND);
    }
}
