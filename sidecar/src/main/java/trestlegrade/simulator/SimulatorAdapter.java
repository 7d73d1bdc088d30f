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
 * Runs the decisions of many sidecars for a simulator: decodes each batch of events on the input into calls of the
 * instances, and writes their actions as one reply. Single-threaded.
 *
 * <p>{@link EventCode} and {@link ActionCode} list the records. The outcome of an attempt is a number of ten times its
 * place in {@link AttemptOutcome}, counted from one.
 */
public final class SimulatorAdapter {
    private static final int OUTCOME_STEP = 10;
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

    /** The watch or poll failed; no entries follow. */
    private static final int SCOPE_FAILED = 0;
    /** The list that the instance had before it started. */
    private static final int SCOPE_CACHED = 1;

    private static final int SCOPE_FULL = 2;
    private static final int SCOPE_DELTA = 4;

    private static final int FLAG_COST_VALID = 1;

    /** Endpoint (u32) and time since the send (f64) of an answer that begins. */
    private static final int STREAM_BEGUN_TAIL_BYTES = 12;
    /** Time taken (f64), outcome (u8) and endpoint (u32) of a health check. */
    private static final int HEALTH_CHECK_BYTES = 13;

    private final OutputStream out;
    private final BatchReader batch;
    private final IntObjectHashMap<LoadBalancer> instances = new IntObjectHashMap<>();
    private final EndpointLists lists = new EndpointLists();
    private final SimulatorReply reply = new SimulatorReply();

    /** Reads from and writes to these streams, which the caller closes. */
    public SimulatorAdapter(InputStream in, OutputStream out) {
        batch = new BatchReader(in);
        this.out = out;
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws MalformedFrameException if the input is not of the simulator's protocol
     */
    public void run() throws IOException {
        while (batch.next()) {
            reply.begin();
            answer();
            reply.writeTo(out);
            out.flush();
        }
    }

    private void answer() throws MalformedFrameException {
        int records = batch.records();
        long now = batch.clockTicks();
        try {
            for (int i = 0; i < records; i++) {
                record(now);
            }
        } catch (BufferUnderflowException e) {
            throw new MalformedFrameException("a record goes past the end of its batch");
        }
        if (batch.remaining() > 0) {
            throw new MalformedFrameException(batch.remaining() + " bytes after the last record");
        }
    }

    private void record(long now) throws MalformedFrameException {
        EventCode code = batch.code();
        if (code == EventCode.ENDPOINT_LIST) {
            lists.read(batch);
            return;
        }
        int id = batch.u16();
        reply.actFor(id);
        try {
            if (code == EventCode.START) {
                start(id, now);
            } else if (code == EventCode.STOP) {
                instances.remove(id);
            } else {
                event(code, instances.get(id), now);
            }
        } catch (BufferUnderflowException e) {
            throw e;
        } catch (RuntimeException e) {
            // The instance has failed, by its settings or by a fault of the decisions: the simulator is told why.
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

    /** Reads one event; an instance that was stopped, or never started, is null, and its events are dropped. */
    private void event(EventCode code, LoadBalancer instance, long now) throws MalformedFrameException {
        switch (code) {
            case LIST_NEWS -> listNews(instance, now);
            case ARRIVAL -> arrival(instance, now);
            case STREAM_BEGUN -> streamBegun(instance);
            case ATTEMPT_ENDED -> attemptEnded(instance, now);
            case CLIENT_LEFT -> clientLeft(instance, now);
            case TIMER -> timer(instance, now);
            case HEALTH_CHECK_ENDED -> {
                batch.skip(HEALTH_CHECK_BYTES);
                skipLoadReport();
            }
            case PEER_MESSAGE -> {
                batch.skip(Short.BYTES);
                batch.skip(batch.u16());
            }
            default -> throw new IllegalStateException("no event of an instance: " + code);
        }
    }

    private void listNews(LoadBalancer instance, long now) throws MalformedFrameException {
        batch.skip(Integer.BYTES); // The list's version: news come in order, and none is skipped.
        int scope = batch.u8();
        int list = batch.i32();
        if (scope == SCOPE_FAILED) {
            if (instance != null) {
                instance.onEndpointListFailed(now);
            }
            return;
        }
        if (scope != SCOPE_CACHED && scope != SCOPE_FULL && scope != SCOPE_DELTA) {
            throw new MalformedFrameException("a list of unknown scope " + scope);
        }
        var rows = lists.get(list);
        if (instance != null) {
            instance.onEndpointUpdates(now, rows, scope != SCOPE_DELTA, scope == SCOPE_CACHED);
        }
    }

    private void arrival(LoadBalancer instance, long now) {
        long transaction = batch.u32();
        int profile = batch.u8();
        int customer = batch.i32();
        long key = batch.u64();
        long patience = batch.ticks();
        double costMillis = batch.f64();
        boolean costValid = (batch.u16() & FLAG_COST_VALID) != 0 && costMillis > 0;
        long cost = costValid ? BatchReader.toTicks(costMillis) : 0;
        if (instance != null) {
            instance.onArrival(now, transaction, profile, customer, key, patience, cost);
        }
    }

    private void streamBegun(LoadBalancer instance) {
        long transaction = batch.u32();
        int attempt = batch.u8();
        batch.skip(STREAM_BEGUN_TAIL_BYTES);
        if (instance != null) {
            instance.onStreaming(transaction, attempt);
        }
    }

    private void attemptEnded(LoadBalancer instance, long now) throws MalformedFrameException {
        long transaction = batch.u32();
        int attempt = batch.u8();
        batch.skip(Integer.BYTES); // The endpoint: the attempt tells it.
        int outcomeCode = batch.u8();
        long took = batch.ticks();
        boolean finished = batch.u8() != 0;
        skipLoadReport();
        AttemptOutcome outcome = outcome(outcomeCode);
        if (instance != null) {
            instance.onAttemptEnded(now, transaction, attempt, outcome, took, finished);
        }
    }

    private void clientLeft(LoadBalancer instance, long now) {
        long transaction = batch.u32();
        if (instance != null) {
            instance.onClientDisconnected(now, transaction);
        }
    }

    private void timer(LoadBalancer instance, long now) {
        batch.skip(Long.BYTES); // The token: all timers mean the same.
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
            throw new MalformedFrameException("an attempt of unknown outcome " + code);
        }
        return OUTCOMES[index];
    }
}
