package trestlegrade.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import trestlegrade.policy.PolicyActions;
import trestlegrade.policy.request.RejectionReason;

/** Encodes the actions of all instances as the reply to one batch. */
final class SimulatorReply implements PolicyActions {
    private static final int HEADER_BYTES = Integer.BYTES;
    private static final int RECORD_HEADER_BYTES = 2 * Short.BYTES;
    private static final int INITIAL_CAPACITY = 1 << 16;
    private static final int MAX_FAULT_MESSAGE_BYTES = 1000;
    private static final double TICKS_PER_MILLISECOND = 10.0;

    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_CAPACITY);
    private int instance;

    /** Starts the reply to the next batch. */
    void begin() {
        buffer.clear().position(HEADER_BYTES);
    }

    /** Sets the instance to which the following actions belong. */
    void setInstance(int newInstance) {
        instance = newInstance;
    }

    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, buffer.position() - HEADER_BYTES);
        out.write(buffer.array(), 0, buffer.position());
    }

    /** Reports that the instance has failed; the simulator ends the run. */
    void fault(String message) {
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, MAX_FAULT_MESSAGE_BYTES);
        startRecord(ActionCode.FAULT, Short.BYTES + length)
                .putShort((short) length)
                .put(text, 0, length);
    }

    @Override
    public void send(long transactionId, long endpointId, long timeoutTicks, long writeBefore) {
        startRecord(ActionCode.SEND, 2 * Integer.BYTES + Double.BYTES)
                .putInt((int) transactionId)
                .putInt((int) endpointId)
                .putDouble(timeoutTicks / TICKS_PER_MILLISECOND);
    }

    @Override
    public void cancel(long transactionId, int attempt) {
        startRecord(ActionCode.CANCEL, Integer.BYTES + Byte.BYTES)
                .putInt((int) transactionId)
                .put((byte) attempt);
    }

    @Override
    public void rollBack(long transactionId, long retryAfterTicks, RejectionReason reason) {
        startRecord(ActionCode.REJECT, Integer.BYTES + Double.BYTES)
                .putInt((int) transactionId)
                .putDouble(retryAfterTicks / TICKS_PER_MILLISECOND);
    }

    @Override
    public void abandon(long transactionId, RejectionReason reason) {
        startRecord(ActionCode.FAIL, Integer.BYTES).putInt((int) transactionId);
    }

    @Override
    public void scheduleTick(long delayTicks) {
        startRecord(ActionCode.SET_TIMER, Double.BYTES + Long.BYTES)
                .putDouble(delayTicks / TICKS_PER_MILLISECOND)
                .putLong(0);
    }

    @Override
    public void subscribe() {
        startRecord(ActionCode.WATCH, Byte.BYTES).put((byte) 1);
    }

    /** Starts a record whose fields have this size in bytes. */
    private ByteBuffer startRecord(ActionCode action, int fieldBytes) {
        if (buffer.remaining() < RECORD_HEADER_BYTES + fieldBytes) {
            ByteBuffer larger = ByteBuffer.allocate(buffer.capacity() * 2);
            buffer.flip();
            larger.put(buffer);
            buffer = larger;
        }
        return buffer.putShort(action.code).putShort((short) instance);
    }
}
