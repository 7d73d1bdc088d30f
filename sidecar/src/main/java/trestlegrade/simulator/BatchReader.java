package trestlegrade.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads batches from the simulator and the fields of their records in order. A batch has a header (bytes that follow
 * u32, records u32, clock f64 ms) and its records; all numbers are big-endian.
 *
 * <p>The accessors of fields throw {@link BufferUnderflowException} past the end of the batch.
 */
final class BatchReader {
    private static final int HEADER_BYTES = 16;
    private static final int SIZE_AT = 0;
    private static final int RECORDS_AT = 4;
    private static final int CLOCK_AT = 8;
    private static final int INITIAL_BYTES = 1 << 16;
    private static final double CLOCK_LIMIT_MILLIS = 1e15;
    private static final int TICKS_PER_MILLISECOND = 10;

    private final InputStream in;
    private ByteBuffer batch = ByteBuffer.allocate(INITIAL_BYTES);

    BatchReader(InputStream in) {
        this.in = in;
    }

    /**
     * Reads the next batch; returns false at the end of the input.
     *
     * @throws MalformedFrameException if the input ends within the batch
     */
    boolean next() throws IOException {
        int got = in.readNBytes(batch.array(), 0, HEADER_BYTES);
        if (got == 0) {
            return false;
        }
        if (got < HEADER_BYTES) {
            throw new MalformedFrameException("input ends inside a header");
        }
        int size = batch.getInt(SIZE_AT);
        if (size < 0) {
            throw new MalformedFrameException("a batch of " + Integer.toUnsignedString(size) + " bytes");
        }
        if (size > batch.capacity() - HEADER_BYTES) {
            grow(size);
        }
        if (in.readNBytes(batch.array(), HEADER_BYTES, size) < size) {
            throw new MalformedFrameException("input ends inside a batch");
        }
        batch.limit(HEADER_BYTES + size).position(HEADER_BYTES);
        return true;
    }

    private void grow(int size) {
        ByteBuffer larger = ByteBuffer.allocate(Math.addExact(Math.max(size, size / 2 * 3), HEADER_BYTES));
        System.arraycopy(batch.array(), 0, larger.array(), 0, HEADER_BYTES);
        batch = larger;
    }

    int records() {
        return batch.getInt(RECORDS_AT);
    }

    /** Returns the time of the batch in ticks. */
    long clockTicks() throws MalformedFrameException {
        double clockMillis = batch.getDouble(CLOCK_AT);
        if (!(Math.abs(clockMillis) < CLOCK_LIMIT_MILLIS)) {
            throw new MalformedFrameException("a clock of " + clockMillis);
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

    /** Reads a u32 that is a length or an index; negative if it is over 2^31. */
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

    /** Reads a time in milliseconds as whole ticks. */
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
