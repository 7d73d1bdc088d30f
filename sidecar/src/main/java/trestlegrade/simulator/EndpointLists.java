package trestlegrade.simulator;

import java.nio.BufferUnderflowException;
import java.util.ArrayList;
import java.util.List;
import trestlegrade.policy.endpoint.EndpointUpdate;

/** The numbered endpoint lists that all instances share; a new list replaces the previous one with the same number. */
final class EndpointLists {
    private static final int MAX_LISTS = 16;
    private static final int ROW_BYTES = 22;

    private static final int STATE_GONE = 0;
    private static final int STATE_READY = 1;
    private static final int STATE_DRAINING = 2;

    private final List<List<EndpointUpdate>> lists = new ArrayList<>();

    EndpointLists() {
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

    /** Reads one list and stores it under its number. */
    void read(BatchReader batch) throws MalformedFrameException {
        int number = batch.i32();
        int count = batch.i32();
        if (number < 0 || number >= MAX_LISTS) {
            throw new MalformedFrameException("endpoint list number must be below " + MAX_LISTS + ": " + number);
        }
        if (count < 0 || count > batch.remaining() / ROW_BYTES) {
            throw new BufferUnderflowException();
        }
        List<EndpointUpdate> rows = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            rows.add(row(batch));
        }
        lists.set(number, rows);
    }

    List<EndpointUpdate> get(int number) throws MalformedFrameException {
        if (number < 0 || number >= MAX_LISTS || lists.get(number) == null) {
            throw new MalformedFrameException("unknown endpoint list number: " + number);
        }
        return lists.get(number);
    }

    private static EndpointUpdate row(BatchReader batch) throws MalformedFrameException {
        long id = batch.u32();
        int zone = batch.u8();
        int instanceType = batch.u16();
        int cell = batch.u16();
        EndpointUpdate.State state = state(batch.u8());
        double weight = batch.f32();
        long launchedAt = batch.ticks();
        return new EndpointUpdate(id, zone, instanceType, cell, state, weight, launchedAt);
    }

    private static EndpointUpdate.State state(int code) throws MalformedFrameException {
        return switch (code) {
            case STATE_GONE -> EndpointUpdate.State.GONE;
            case STATE_READY -> EndpointUpdate.State.READY;
            case STATE_DRAINING -> EndpointUpdate.State.DRAINING;
            default -> throw new MalformedFrameException("unknown endpoint state code: " + code);
        };
    }
}
