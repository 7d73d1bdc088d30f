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
    private static final int INITIAL_BYTES = 1 << 16;
    private static final int MAX_FAULT_TEXT_BYTES = 1000;
    private static final double TICKS_PER_MILLISECOND = 10.0;

    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES);
    private int instance;

    /** Begins the reply to the next batch. */
    void begin() {
        buffer.clear().position(HEADER_BYTES);
    }

    /** Sets the instance that the following actions are of. */
    void actFor(int newInstance) {
        instance = newInstance;
    }

    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, buffer.position() - HEADER_BYTES);
        out.write(buffer.array(), 0, buffer.position());
    }

    /** Declares that the instance's decisions have failed; the simulator ends the run. */
    void fault(String message) {
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, MAX_FAULT_TEXT_BYTES);
        record(ActionCode.FAULT, Short.BYTES + length).putShort((short) length).put(text, 0, length);
    }

    @Override
    public void send(long transactionId, long endpointId, long timeoutTicks, long writeBefore) {
        record(ActionCode.SEND, 2 * Integer.BYTES + Double.BYTES)
                .putInt((int) transactionId)
                .putInt((int) endpointId)
                .putDouble(timeoutTicks / TICKS_PER_MILLISECOND);
    }

    @Override
    public void cancel(long transactionId, int attempt) {
        record(ActionCode.CANCEL, Integer.BYTES + Byte.BYTES)
                .putInt((int) transactionId)
                .put((byte) attempt);
    }

    @Override
    public void rollBack(long transactionId, long retryAfterTicks, RejectionReason reason) {
        record(ActionCode.REJECT, Integer.BYTES + Double.BYTES)
                .putInt((int) transactionId)
                .putDouble(retryAfterTicks / TICKS_PER_MILLISECOND);
    }

    @Override
    public void abandon(long transactionId, RejectionReason reason) {
        record(ActionCode.FAIL, Integer.BYTES).putInt((int) transactionId);
    }

    @Override
    public void scheduleTick(long delayTicks) {
        record(ActionCode.SET_TIMER, Double.BYTES + Long.BYTES)
                .putDouble(delayTicks / TICKS_PER_MILLISECOND)
                .putLong(0);
    }

    @Override
    public void subscribe() {
        record(ActionCode.WATCH, Byte.BYTES).put((byte) 1);
    }

    /** Begins a record whose fields take this many bytes. */
    private ByteBuffer record(ActionCode action, int fieldBytes) {
        if (buffer.remaining() < RECORD_HEADER_BYTES + fieldBytes) {
            ByteBuffer larger = ByteBuffer.allocate(buffer.capacity() * 2);
            buffer.flip();
            larger.put(buffer);
            buffer = larger;
        }
        return buffer.putShort(action.code).putShort((short) instance);
    }
}
