package trestlegrade.inbound;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import trestlegrade.config.SidecarConfig;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.runtime.PolicyExecutor;

/**
 * The way from SIGTERM to the end of the program. The operators kill the program {@link #KILL_AFTER_DEADLINE_MILLIS}
 * after the longest deadline D (3 s at most); nobody else serves its clients, so it serves them until shortly before
 * that. What is in the kernel when the program ends is lost.
 *
 * <table>
 * <caption>Who waits for what; times in milliseconds since SIGTERM, R = max(D, 600) + 100</caption>
 * <tr><th>phase</th><th>until</th><th>why</th></tr>
 * <tr><td>{@link Phase#DRAINING}</td><td>600</td>
 *   <td>clients open new connections for a while; all is served, but the health check fails</td></tr>
 * <tr><td>{@link Phase#CLOSES_WHEN_IDLE}</td>
 *   <td>no client is connected, or max(600, R + 100 - longest latency objective / 2)</td>
 *   <td>the last transactions have half of their latency objective before the kill</td></tr>
 * <tr><td>{@link Phase#CLOSING}</td><td>the listener's backlog is empty, or R + 300</td>
 *   <td>clients in the backlog are served once descriptors are free; idle connections are closed, others end with
 *   their next response</td></tr>
 * <tr><td>{@link Phase#LISTENER_CLOSED}</td><td>no client is connected</td>
 *   <td>each response is written and read</td></tr>
 * <tr><td>any</td><td>R</td><td>each final response is given by then</td></tr>
 * <tr><td>any</td><td>D + 650</td><td>the program ends before it is killed</td></tr>
 * </table>
 *
 * <p>All methods are called on the event loop; times of the clock are ticks.
 */
final class GracefulShutdown {

    /** How far the shutdown is; each phase follows the one before. */
    enum Phase {
        /** SIGTERM has not come. */
        RUNNING,
        /** Serves as before; clients that have not noticed the shutdown may still connect. */
        DRAINING,
        /** Serves as before, and closes as soon as no client is connected. */
        CLOSES_WHEN_IDLE,
        /** Drains the listener's backlog, and has connections end. */
        CLOSING,
        /** The listener is closed; ends once no client is connected. */
        LISTENER_CLOSED
    }

    /** The operators wait no longer than this for a deadline, however long the settings allow transactions to take. */
    private static final long MAX_DEADLINE_MILLIS = 3_000;

    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
    /** For the last lines of the log. */
    private static final long LOG_FLUSH_MILLIS = 50;
    /** For the last responses to be given and written on a loop that runs late. */
    private static final long RESPONSE_MARGIN_MILLIS = 100;
    /** For clients in the backlog, once the last responses have freed descriptors. */
    private static final long BACKLOG_MARGIN_MILLIS = 300;
    /** Clients go on connecting for up to 400 ms; the rest is for a loop that runs late. */
    private static final long NEW_CLIENTS_MILLIS = 600;

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

    /** Whether SIGTERM has come. */
    boolean isShuttingDown() {
        return phase != Phase.RUNNING;
    }

    /** Whether connections end with their next response. */
    boolean isClosing() {
        return phase.compareTo(Phase.CLOSING) >= 0;
    }

    /** By when each final response is given; {@link Long#MAX_VALUE} before SIGTERM. */
    long responsesDueBy() {
        return responsesDueBy;
    }

    /**
     * SIGTERM has come. {@code onEnded} is called, perhaps several times, when the program is to end.
     *
     * @param config the settings now; later ones do not move the end
     */
    void begin(SidecarConfig config, Runnable onEnded) {
        phase = Phase.DRAINING;
        connections.keepIdle();
        long deadlineMillis = Math.min(MAX_DEADLINE_MILLIS, config.longestDeadlineMillis());
        // Deadlines shorter than the wait for new clients: the last responses come after them, but before the kill.
        long respondMillis = Math.max(deadlineMillis, NEW_CLIENTS_MILLIS) + RESPONSE_MARGIN_MILLIS;
        responsesDueBy = clock.now() + respondMillis * MonotonicClock.TICKS_PER_MILLI;
        executor.drainBy(responsesDueBy);
        long closeMillis = respondMillis + RESPONSE_MARGIN_MILLIS - config.longestLatencyObjectiveMillis() / 2;
        vertx.setTimer(NEW_CLIENTS_MILLIS, t -> newClientsAwaited());
        vertx.setTimer(Math.max(NEW_CLIENTS_MILLIS, closeMillis), t -> close());
        vertx.setTimer(deadlineMillis + KILL_AFTER_DEADLINE_MILLIS - LOG_FLUSH_MILLIS, t -> onEnded.run());
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS, t -> closeOrEndOnceIdle(onEnded));
    }

    private void newClientsAwaited() {
        if (phase == Phase.DRAINING) {
            phase = Phase.CLOSES_WHEN_IDLE;
        }
    }

    private void closeOrEndOnceIdle(Runnable onEnded) {
        if (!connections.isEmpty()) {
            return;
        }
        if (phase == Phase.LISTENER_CLOSED) {
            onEnded.run();
        } else if (phase == Phase.CLOSES_WHEN_IDLE) {
            close();
        }
    }

    private void close() {
        if (isClosing()) {
            return;
        }
        phase = Phase.CLOSING;
        // What connections have sent so far is read before they are taken for idle.
        lag.runAfterSocketReads(connections::shutDown);
        Runnable onListenerClosed = () -> context.runOnContext(v -> lag.runAfterSocketReads(this::listenerClosed));
        transport.closeListener(
                clock, responsesDueBy + BACKLOG_MARGIN_MILLIS * MonotonicClock.TICKS_PER_MILLI, onListenerClosed);
    }

    /** What the clients accepted last have sent has been read. */
    private void listenerClosed() {
        connections.shutDown();
        phase = Phase.LISTENER_CLOSED;
    }
}
