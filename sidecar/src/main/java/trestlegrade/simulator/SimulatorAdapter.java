package trestlegrade.simulator;

import com.carrotsearch.hppc.IntObjectHashMap;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import trestlegrade.config.PolicySettingsReader;
import trestlegrade.policy.LoadBalancer;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.request.AttemptOutcome;

/** The bench's wire: decodes each batch into calls of the instances' decisions and encodes their results. */
public final class SimulatorAdapter {
    private static final int HEADER = 16;
    private static final int LISTS = 16;
    private static final int ROW = 22;
    /** By the wire's numbers over ten, less one. */
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

    private final InputStream in;
    private final OutputStream out;
    private final IntObjectHashMap<LoadBalancer> instances = new IntObjectHashMap<>();
    private final List<List<EndpointUpdate>> lists = new ArrayList<>();
    private final SimulatorReply reply = new SimulatorReply();
    private ByteBuffer batch = ByteBuffer.allocate(1 << 16);

    public SimulatorAdapter(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
        for (int i = 0; i < LISTS; i++) {
            lists.add(null);
        }
    }

    /** Answers batches until the input ends. */
    public void run() throws IOException {
        while (read()) {
            reply.begin();
            answer();
            reply.writeTo(out);
            out.flush();
        }
    }

    private boolean read() throws IOException {
        int got = in.readNBytes(batch.array(), 0, HEADER);
        if (got == 0) {
            return false;
        }
        if (got < HEADER) {
            throw new MalformedFrameException("input ends inside a header");
        }
        int size = batch.getInt(0);
        if (size < 0) {
            throw new MalformedFrameException("a batch of " + Integer.toUnsignedString(size) + " bytes");
        }
        if (size > batch.capacity() - HEADER) {
            ByteBuffer larger = ByteBuffer.allocate(Math.addExact(Math.max(size, size / 2 * 3), HEADER));
            System.arraycopy(batch.array(), 0, larger.array(), 0, HEADER);
            batch = larger;
        }
        if (in.readNBytes(batch.array(), HEADER, size) < size) {
            throw new MalformedFrameException("input ends inside a batch");
        }
        batch.limit(HEADER + size).position(HEADER);
        return true;
    }

    private void answer() throws MalformedFrameException {
        int records = batch.getInt(4);
        double clock = batch.getDouble(8);
        if (!(Math.abs(clock) < 1e15)) {
            throw new MalformedFrameException("a clock of " + clock);
        }
        long now = tenths(clock);
        try {
            for (int i = 0; i < records; i++) {
                record(now);
            }
        } catch (BufferUnderflowException e) {
            throw new MalformedFrameException("a record goes past the end of its batch");
        }
        if (batch.hasRemaining()) {
            throw new MalformedFrameException(batch.remaining() + " bytes after the last record");
        }
    }

    private void record(long now) throws MalformedFrameException {
        int code = batch.getShort();
        if (code == 1100) {
            list();
            return;
        }
        int who = Short.toUnsignedInt(batch.getShort());
        LoadBalancer instance = instances.get(who);
        reply.instance(who);
        try {
            switch (code) {
                case 1000 -> {
                    long seed = batch.getLong();
                    String text = new String(bytes(batch.getInt()), StandardCharsets.UTF_8);
                    instances.remove(who);
                    LoadBalancer fresh =
                            new LoadBalancer(PolicySettingsReader.ofLines(text).terms(), seed, reply);
                    instances.put(who, fresh);
                    fresh.start(now);
                }
                case 1010 -> listed(instance, now);
                case 1020 -> arrived(instance, now);
                case 1030 -> {
                    long tx = u32();
                    int attempt = Byte.toUnsignedInt(batch.get());
                    skip(12);
                    if (instance != null) {
                        instance.onStreaming(tx, attempt);
                    }
                }
                case 1040 -> ended(instance, now);
                case 1050 -> {
                    long tx = u32();
                    if (instance != null) {
                        instance.onClientDisconnected(now, tx);
                    }
                }
                case 1060 -> {
                    skip(8);
                    if (instance != null) {
                        instance.onTick(now);
                    }
                }
                case 1070 -> {
                    skip(13);
                    skip(4 * Byte.toUnsignedInt(batch.get()));
                }
                case 1080 -> {
                    skip(2);
                    skip(Short.toUnsignedInt(batch.getShort()));
                }
                case 1090 -> instances.remove(who);
                default -> throw new MalformedFrameException("a record of unknown code " + code);
            }
        } catch (BufferUnderflowException e) {
            throw e;
        } catch (RuntimeException e) {
            instances.remove(who);
            reply.giveIn(e.getMessage() == null ? e.toString() : e.getMessage());
        }
    }

    private void listed(LoadBalancer instance, long now) throws MalformedFrameException {
        skip(4);
        int scope = batch.get();
        int ref = batch.getInt();
        if (scope == 0) {
            if (instance != null) {
                instance.onEndpointListFailed(now);
            }
            return;
        }
        if (scope != 1 && scope != 2 && scope != 4) {
            throw new MalformedFrameException("a list of unknown scope " + scope);
        }
        if (ref < 0 || ref >= LISTS || lists.get(ref) == null) {
            throw new MalformedFrameException("a list of unknown number " + ref);
        }
        if (instance != null) {
            instance.onEndpointUpdates(now, lists.get(ref), scope != 4, scope == 1);
        }
    }

    private void arrived(LoadBalancer instance, long now) {
        long tx = u32();
        int profile = Byte.toUnsignedInt(batch.get());
        int customer = batch.getInt();
        long key = batch.getLong();
        double patience = batch.getDouble();
        double cost = batch.getDouble();
        int flags = batch.getShort();
        if (instance != null) {
            instance.onArrival(
                    now, tx, profile, customer, key, tenths(patience), (flags & 1) != 0 && cost > 0 ? tenths(cost) : 0);
        }
    }

    private void ended(LoadBalancer instance, long now) throws MalformedFrameException {
        long tx = u32();
        int attempt = Byte.toUnsignedInt(batch.get());
        skip(4);
        int status = batch.get();
        double took = batch.getDouble();
        boolean finished = batch.get() != 0;
        skip(4 * Byte.toUnsignedInt(batch.get()));
        if (status < 10 || status > 80 || status % 10 != 0) {
            throw new MalformedFrameException("an attempt of unknown outcome " + status);
        }
        if (instance != null) {
            instance.onAttemptEnded(now, tx, attempt, OUTCOMES[status / 10 - 1], tenths(took), finished);
        }
    }

    private void list() throws MalformedFrameException {
        int ref = batch.getInt();
        int count = batch.getInt();
        if (ref < 0 || ref >= LISTS) {
            throw new MalformedFrameException("a list numbered " + ref);
        }
        if (count < 0 || count > batch.remaining() / ROW) {
            throw new BufferUnderflowException();
        }
        List<EndpointUpdate> rows = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            rows.add(new EndpointUpdate(
                    u32(),
                    Byte.toUnsignedInt(batch.get()),
                    Short.toUnsignedInt(batch.getShort()),
                    Short.toUnsignedInt(batch.getShort()),
                    state(batch.get()),
                    batch.getFloat(),
                    tenths(batch.getDouble())));
        }
        lists.set(ref, rows);
    }

    private static EndpointUpdate.State state(int code) throws MalformedFrameException {
        return switch (code) {
            case 0 -> EndpointUpdate.State.GONE;
            case 1 -> EndpointUpdate.State.READY;
            case 2 -> EndpointUpdate.State.DRAINING;
            default -> throw new MalformedFrameException("an endpoint in unknown state " + code);
        };
    }

    private long u32() {
        return Integer.toUnsignedLong(batch.getInt());
    }

    private byte[] bytes(int count) {
        if (count < 0 || count > batch.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] text = new byte[count];
        batch.get(text);
        return text;
    }

    private void skip(int count) {
        if (count > batch.remaining()) {
            throw new BufferUnderflowException();
        }
        batch.position(batch.position() + count);
    }

    /** Milliseconds of the wire as whole tenths. */
    public static long tenths(double milliseconds) {
        return Math.round(milliseconds * 10);
    }
}
