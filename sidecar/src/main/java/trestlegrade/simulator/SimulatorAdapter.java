package trestlegrade.simulator;

import com.carrotsearch.hppc.IntObjectHashMap;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import trestlegrade.config.PolicySettingsReader;
import trestlegrade.policy.LoadBalancer;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * Runs the load balancers of many sidecars, called instances, for a simulator. Decodes each batch of events from the
 * input into calls of the instances, and writes their actions as one reply. Single-threaded.
 *
 * <p>{@link EventCode} and {@link ActionCode} list the records. The outcome of an attempt is encoded as ten times its
 * position in {@link AttemptOutcome}, counted from one.
 */
public final class SimulatorAdapter {
    private static final int OUTCOME_STEP = 10;
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

    /** The watch or poll failed; no entries follow. */
    private static final int SCOPE_FAILED = 0;
    /** The list that the instance knew before it started. */
    private static final int SCOPE_CACHED = 1;

    private static final int SCOPE_FULL = 2;
    private static final int SCOPE_DELTA = 4;

    private static final int FLAG_COST_VALID = 1;

    /** Endpoint (u32) and time since the send (f64) at the end of a {@link EventCode#STREAM_STARTED} record. */
    private static final int STREAM_STARTED_TAIL_BYTES = 12;
    /** Duration (f64), outcome (u8) and endpoint (u32) of a health check. */
    private static final int HEALTH_CHECK_BYTES = 13;

    private final OutputStream out;
    private final BatchReader batch;
    private final IntObjectHashMap<LoadBalancer> instances = new IntObjectHashMap<>();
    private final EndpointLists lists = new EndpointLists();
    private final SimulatorReply reply = new SimulatorReply();

    /** Creates an adapter that reads from and writes to these streams; the caller closes them. */
    public SimulatorAdapter(InputStream in, OutputStream out) {
        batch = new BatchReader(in);
        this.out = out;
    }

    /**
     * Reads batches and replies to each until the input ends.
     *
     * @throws MalformedFrameException if the input violates the simulator's protocol
     */
    public void run() throws IOException {
        while (batch.next()) {
            reply.begin();
            processBatch();
            reply.writeTo(out);
            out.flush();
        }
    }

    private void processBatch() throws MalformedFrameException {
        int recordCount = batch.recordCount();
        long now = batch.clockTicks();
        try {
            for (int i = 0; i < recordCount; i++) {
                processRecord(now);
            }
        } catch (BufferUnderflowException e) {
            throw new MalformedFrameException("record extends past the end of its batch");
        }
        if (batch.remaining() > 0) {
            throw new MalformedFrameException(batch.remaining() + " bytes left after the last record of a batch");
        }
    }

    private void processRecord(long now) throws MalformedFrameException {
        EventCode code = batch.code();
        if (code == EventCode.ENDPOINT_LIST) {
            lists.read(batch);
            return;
        }
        int id = batch.u16();
        reply.setInstance(id);
        try {
            if (code == EventCode.START) {
                start(id, now);
            } else if (code == EventCode.STOP) {
                instances.remove(id);
            } else {
                processEvent(code, instances.get(id), now);
            }
        } catch (BufferUnderflowException e) {
            throw e;
        } catch (RuntimeException e) {
            // The settings of the instance are invalid or its load balancer failed. The simulator ends the run.
            instances.remove(id);
            reply.fault(e.getMessage() == null ? e.toString() : e.getMessage());
        }
    }

    private void start(int id, long now) {
        long seed = batch.u64();
        String settings = batch.text();
        instances.remove(id);
        LoadBalancer instance =
                new LoadBalancer(PolicySettingsReader.ofLines(settings).read(), seed, reply);
        instances.put(id, instance);
        instance.start(now);
    }

    /**
     * Reads one event and passes it to the instance. The instance is null if it was stopped or never started; its
     * events are read and dropped.
     */
    private void processEvent(EventCode code, LoadBalancer instance, long now) throws MalformedFrameException {
        switch (code) {
            case ENDPOINT_LIST_UPDATE -> endpointListUpdate(instance, now);
            case ARRIVAL -> arrival(instance, now);
            case STREAM_STARTED -> streamStarted(instance);
            case ATTEMPT_ENDED -> attemptEnded(instance, now);
            case CLIENT_DISCONNECTED -> clientDisconnected(instance, now);
            case TIMER -> timer(instance, now);
            case HEALTH_CHECK_ENDED -> {
                batch.skip(HEALTH_CHECK_BYTES);
                skipLoadReport();
            }
            case PEER_MESSAGE -> {
                batch.skip(Short.BYTES);
                batch.skip(batch.u16());
            }
            default -> throw new IllegalStateException("not an event of an instance: " + code);
        }
    }

    private void endpointListUpdate(LoadBalancer instance, long now) throws MalformedFrameException {
        batch.skip(Integer.BYTES); // The list's version is not needed: updates arrive in order and none is skipped.
        int scope = batch.u8();
        int listNumber = batch.i32();
        if (scope == SCOPE_FAILED) {
            if (instance != null) {
                instance.onEndpointListFailed(now);
            }
            return;
        }
        if (scope != SCOPE_CACHED && scope != SCOPE_FULL && scope != SCOPE_DELTA) {
            throw new MalformedFrameException("unknown endpoint list scope: " + scope);
        }
        var rows = lists.get(listNumber);
        if (instance != null) {
            instance.onEndpointUpdates(now, rows, scope != SCOPE_DELTA, scope == SCOPE_CACHED);
        }
    }

    private void arrival(LoadBalancer instance, long now) {
        long transaction = batch.u32();
        int profile = batch.u8();
        int customer = batch.i32();
        long key = batch.u64();
        long timeoutTicks = batch.ticks();
        double costMillis = batch.f64();
        boolean costValid = (batch.u16() & FLAG_COST_VALID) != 0 && costMillis > 0;
        long costHint = costValid ? BatchReader.toTicks(costMillis) : 0;
        if (instance != null) {
            instance.onArrival(now, transaction, profile, customer, key, timeoutTicks, costHint);
        }
    }

    private void streamStarted(LoadBalancer instance) {
        long transaction = batch.u32();
        int attempt = batch.u8();
        batch.skip(STREAM_STARTED_TAIL_BYTES);
        if (instance != null) {
            instance.onStreaming(transaction, attempt);
        }
    }

    private void attemptEnded(LoadBalancer instance, long now) throws MalformedFrameException {
        long transaction = batch.u32();
        int attempt = batch.u8();
        batch.skip(Integer.BYTES); // The endpoint is not needed: it follows from the attempt.
        int outcomeCode = batch.u8();
        long durationTicks = batch.ticks();
        boolean closed = batch.u8() != 0;
        skipLoadReport();
        AttemptOutcome outcome = outcome(outcomeCode);
        if (instance != null) {
            instance.onAttemptEnded(now, transaction, attempt, outcome, durationTicks, closed);
        }
    }

    private void clientDisconnected(LoadBalancer instance, long now) {
        long transaction = batch.u32();
        if (instance != null) {
            instance.onClientDisconnected(now, transaction);
        }
    }

    private void timer(LoadBalancer instance, long now) {
        batch.skip(Long.BYTES); // The token is not needed: all timers request a tick.
        if (instance != null) {
            instance.onTick(now);
        }
    }

    private void skipLoadReport() {
        batch.skip(Float.BYTES * batch.u8());
    }

    private static AttemptOutcome outcome(int code) throws MalformedFrameException {
        int index = code / OUTCOME_STEP - 1;
        if (code % OUTCOME_STEP != 0 || index < 0 || index >= OUTCOMES.length) {
            throw new MalformedFrameException("unknown attempt outcome code: " + code);
        }
        return OUTCOMES[index];
    }
}
