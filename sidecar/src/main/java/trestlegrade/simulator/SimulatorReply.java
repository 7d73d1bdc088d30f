package trestlegrade.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import trestlegrade.policy.PolicyActions;
import trestlegrade.policy.request.RejectionReason;

/** The reply to one batch, written as the instances decide. */
final class SimulatorReply implements PolicyActions {
    private static final int HEADER = 4;
    private static final int LONGEST_TEXT = 1000;

    private ByteBuffer bytes = ByteBuffer.allocate(1 << 16);
    private int instance;

    public void begin() {
        bytes.clear().position(HEADER);
    }

    public void instance(int number) {
        instance = number;
    }

    void writeTo(OutputStream out) throws IOException {
        bytes.putInt(0, bytes.position() - HEADER);
        out.write(bytes.array(), 0, bytes.position());
    }

    void giveIn(String why) {
        byte[] text = why.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, LONGEST_TEXT);
        record(1090, 2 + length).putShort((short) length).put(text, 0, length);
    }

    @Override
    public void send(long tx, long endpoint, long timeout, long writtenBefore) {
        record(1000, 16).putInt((int) tx).putInt((int) endpoint).putDouble(timeout / 10.0);
    }

    @Override
    public void cancel(long tx, int attempt) {
        record(1030, 5).putInt((int) tx).put((byte) attempt);
    }

    @Override
    public void rollBack(long tx, long pause, RejectionReason why) {
        record(1010, 12).putInt((int) tx).putDouble(pause / 10.0);
    }

    @Override
    public void abandon(long tx, RejectionReason why) {
        record(1020, 4).putInt((int) tx);
    }

    @Override
    public void scheduleTick(long span) {
        record(1040, 16).putDouble(span / 10.0).putLong(0);
    }

    @Override
    public void subscribe() {
        record(1100, 1).put((byte) 1);
    }

    private ByteBuffer record(int code, int size) {
        if (bytes.remaining() < 4 + size) {
            ByteBuffer larger = ByteBuffer.allocate(bytes.capacity() * 2);
            bytes.flip();
            larger.put(bytes);
            bytes = larger;
        }
        return bytes.putShort((short) code).putShort((short) instance);
    }
}
