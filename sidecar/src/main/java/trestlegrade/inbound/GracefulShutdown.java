package trestlegrade.inbound;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import trestlegrade.config.SidecarConfig;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.runtime.PolicyExecutor;

/**
 * Controls the shutdown from SIGTERM to the end of the process. Operators kill the process
 * {@link #KILL_AFTER_DEADLINE_MILLIS} after the longest deadline D (at most 3 s). No other process serves its clients,
 * so it serves them until shortly before that. Data still in the kernel when the process ends is lost.
 *
 * <table>
 * <caption>Shutdown phases; times in milliseconds since SIGTERM, R = max(D, 600) + 100</caption>
 * <tr><th>phase</th><th>until</th><th>reason</th></tr>
 * <tr><td>{@link Phase#DRAINING}</td><td>600</td>
 *   <td>clients open new connections for a while; everything is served, but the health check fails</td></tr>
 * <tr><td>{@link Phase#CLOSE_WHEN_IDLE}</td>
 *   <td>no client is connected, or max(600, R + 100 - longest latency objective / 2)</td>
 *   <td>the last transactions get half of their latency objective before the kill</td></tr>
 * <tr><td>{@link Phase#CLOSING}</td><td>the listener's backlog is empty, or R + 300</td>
 *   <td>clients in the backlog are served once descriptors are available; idle connections are closed, others end with
 *   their next response</td></tr>
 * <tr><td>{@link Phase#LISTENER_CLOSED}</td><td>no client is connected</td>
 *   <td>each response is written and read</td></tr>
 * <tr><td>any</td><td>R</td><td>all final responses are sent by then</td></tr>
 * <tr><td>any</td><td>D + 650</td><td>the process ends before it is killed</td></tr>
 * </table>
 *
 * <p>All methods are called on the event loop; times of the clock are ticks.
 */
final class GracefulShutdown {

    /** The phases of the shutdown, in order. */
    enum Phase {
        /** SIGTERM has not been received. */
        RUNNING,
        /** Serves as before, because clients that have not noticed the shutdown may still connect. */
        DRAINING,
        /** Serves as before, and starts closing as soon as no client is connected. */
        CLOSE_WHEN_IDLE,
        /** Drains the listener's backlog and ends connections. */
        CLOSING,
        /** The listener is closed; the process ends once no client is connected. */
        LISTENER_CLOSED
    }

    /** The longest deadline that operators wait for, even if the settings allow transactions to take longer. */
    private static final long MAX_DEADLINE_MILLIS = 3_000;

    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
    /** Time reserved for writing the last lines of the log. */
    private static final long LOG_FLUSH_MILLIS = 50;
    /** Time reserved for sending and writing the last responses on an event loop that lags. */
    private static final long RESPONSE_MARGIN_MILLIS = 100;
    /** Time reserved for clients in the backlog after the last responses have freed descriptors. */
    private static final long BACKLOG_MARGIN_MILLIS = 300;
    /** Clients continue to connect for up to 400 ms; the rest allows for event loop lag. */
    private static final long NEW_CLIENTS_PERIOD_MILLIS = 600;

    private static final long CHECK_INTERVAL_MILLIS = 10;

    private final Vertx vertx;
    private final Context context;
    private final MonotonicClock clock;
    private final EventLoopLag lag;
    private final PolicyExecutor executor;
    private final BoundedTransport transport;
    private final ClientConnections connections;
    private Phase phase = Phase.RUNNING;
    private long responsesDueBy = Long.MAX_VALUE;

    GracefulShutdown(
            Vertx vertx,
            Context context,
            MonotonicClock clock,
            EventLoopLag lag,
            PolicyExecutor executor,
            BoundedTransport transport,
            ClientConnections connections) {
        this.vertx = vertx;
        this.context = context;
        this.clock = clock;
        this.lag = lag;
        this.executor = executor;
        this.transport = transport;
        this.connections = connections;
    }

    /** Whether SIGTERM has been received. */
    boolean isShuttingDown() {
        return phase != Phase.RUNNING;
    }

    /** Whether connections end with their next response. */
    boolean isClosing() {
        return phase.compareTo(Phase.CLOSING) >= 0;
    }

    /** The time by which all final responses are sent; {@link Long#MAX_VALUE} before SIGTERM. */
    long responsesDueBy() {
        return responsesDueBy;
    }

    /**
     * Starts the shutdown after SIGTERM.
     *
     * @param config the current settings; later settings do not change the end of the shutdown
     * @param onEnded called, possibly several times, when the process is to end
     */
    void begin(SidecarConfig config, Runnable onEnded) {
        phase = Phase.DRAINING;
        connections.keepIdleConnections();
        long deadlineMillis = Math.min(MAX_DEADLINE_MILLIS, config.longestDeadlineMillis());
        // If deadlines are shorter than the period for new clients, the last responses are sent after the deadline but
        // before the kill.
        long respondMillis = Math.max(deadlineMillis, NEW_CLIENTS_PERIOD_MILLIS) + RESPONSE_MARGIN_MILLIS;
        responsesDueBy = clock.now() + respondMillis * MonotonicClock.TICKS_PER_MILLI;
        executor.drainBy(responsesDueBy);
        long closeMillis = respondMillis + RESPONSE_MARGIN_MILLIS - config.longestLatencyObjectiveMillis() / 2;
        vertx.setTimer(NEW_CLIENTS_PERIOD_MILLIS, t -> newClientsPeriodEnded());
        vertx.setTimer(Math.max(NEW_CLIENTS_PERIOD_MILLIS, closeMillis), t -> close());
        vertx.setTimer(deadlineMillis + KILL_AFTER_DEADLINE_MILLIS - LOG_FLUSH_MILLIS, t -> onEnded.run());
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS, t -> closeOrEndOnceIdle(onEnded));
    }

    private void newClientsPeriodEnded() {
        if (phase == Phase.DRAINING) {
            phase = Phase.CLOSE_WHEN_IDLE;
        }
    }

    private void closeOrEndOnceIdle(Runnable onEnded) {
        if (!connections.isEmpty()) {
            return;
        }
        if (phase == Phase.LISTENER_CLOSED) {
            onEnded.run();
        } else if (phase == Phase.CLOSE_WHEN_IDLE) {
            close();
        }
    }

    private void close() {
        if (isClosing()) {
            return;
        }
        phase = Phase.CLOSING;
        // Read what clients have sent so far before treating their connections as idle.
        lag.runAfterSocketReads(connections::shutDown);
        Runnable onListenerClosed = () -> context.runOnContext(v -> lag.runAfterSocketReads(this::listenerClosed));
        transport.closeListener(
                clock, responsesDueBy + BACKLOG_MARGIN_MILLIS * MonotonicClock.TICKS_PER_MILLI, onListenerClosed);
    }

    /** Called when the listener is closed and the data of the clients accepted last has been read. */
    private void listenerClosed() {
        connections.shutDown();
        phase = Phase.LISTENER_CLOSED;
    }
}
