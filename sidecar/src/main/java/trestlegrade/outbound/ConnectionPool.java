package trestlegrade.outbound;

import com.carrotsearch.hppc.LongObjectHashMap;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import trestlegrade.config.SidecarConfig;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.inbound.DescriptorBudget;
import trestlegrade.metrics.Counters;

/**
 * Opens connections to endpoints, keeps the idle ones of each endpoint, and closes connections that are too old or no
 * longer useful. All calls are on the event loop.
 */
final class ConnectionPool {

    /** Is notified of the connections that it requested and of those that end during an attempt. */
    interface Listener extends PooledConnection.Listener {
        /** The attempt's connection could not be opened. */
        void connectFailed(OutboundAttempt attempt);

        /** The attempt's connection was opened. It may have ended since. */
        void connected(OutboundAttempt attempt, PooledConnection connection);

        /** The connection that serves the attempt has ended. */
        void connectionLost(OutboundAttempt attempt);
    }

    private static final long SWEEP_MILLIS = 500;

    /**
     * An attempt that breaks sooner than this was written to a connection that the endpoint had already closed. An
     * endpoint that has begun an attempt takes longer to break it.
     */
    private static final long CLOSED_BEFORE_WRITE_TICKS = 5 * MonotonicClock.TICKS_PER_MILLI;

    /**
     * Half of the quarantine. Excess bytes that arrive earlier in the quarantine cannot reach another attempt, because
     * the quarantine lasts for at least as long again.
     */
    private static final long LATE_EXCESS_BYTES_TICKS =
            AttemptSender.QUARANTINE_MILLIS * MonotonicClock.TICKS_PER_MILLI / 2;

    private final Vertx vertx;
    private final EventLoopContext loop;
    private final Counters counters;
    private final Listener listener;
    private final int quarantineMillis;
    private final NetClient client;
    private final DescriptorBudget descriptors;
    private final LongObjectHashMap<Deque<PooledConnection>> idleByEndpoint = new LongObjectHashMap<>();
    private final ReuseAgeBound reuseAgeBound;
    private final SingleUseEndpoints singleUse = new SingleUseEndpoints();
    private final long sweepTimer;
    private long connectTimeoutMillis;
    private long maxIdleTicks;
    /**
     * Whether the operating system supports the option for immediate acknowledgements. The option is not tried again
     * once the system has refused it, because a refusal after each response would cost as much as the option itself.
     */
    private boolean quickAckSupported = true;

    /**
     * Creates a pool without connections.
     *
     * @param quarantineMillis how long a connection stays unused after a response, see {@link #release}
     */
    ConnectionPool(
            EventLoopContext loop, Counters counters, Listener listener, SidecarConfig config, int quarantineMillis) {
        this.loop = loop;
        this.counters = counters;
        this.listener = listener;
        this.quarantineMillis = quarantineMillis;
        vertx = loop.vertx();
        descriptors = DescriptorBudget.forAttempts(config.maxSockets());
        reload(config);
        long minReuseTicks = 2L * AttemptSender.QUARANTINE_MILLIS * MonotonicClock.TICKS_PER_MILLI;
        reuseAgeBound = new ReuseAgeBound(minReuseTicks, maxIdleTicks);
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
        sweepTimer = vertx.setPeriodic(SWEEP_MILLIS, t -> sweep());
    }

    /** Applies new settings to new connections, and the new maximum idle time also to open ones. */
    void reload(SidecarConfig config) {
        connectTimeoutMillis = Math.max(1, config.connectTimeoutTicks() / MonotonicClock.TICKS_PER_MILLI);
        // A fifth of the endpoint's idle timeout is left for data in flight and for event loop lag.
        maxIdleTicks = config.idleTimeoutTicks() * 4 / 5;
    }

    long connectTimeoutMillis() {
        return connectTimeoutMillis;
    }

    /** Returns the number of connections that are open or being opened. */
    int size() {
        return descriptors.inUse();
    }

    /**
     * Takes an idle connection for an attempt, or returns null if none may be used. Prefers the connection used last,
     * so that surplus connections age and are closed.
     */
    PooledConnection takeIdle(OutboundAttempt attempt) {
        Deque<PooledConnection> idle = idleByEndpoint.get(attempt.endpoint.id);
        if (idle == null) {
            return null;
        }
        long now = loop.clock().now();
        boolean idempotent = attempt.request.metadata.idempotent();
        for (Iterator<PooledConnection> iterator = idle.descendingIterator(); iterator.hasNext(); ) {
            PooledConnection connection = iterator.next();
            long idleTicks = now - connection.idleSinceTicks;
            if (connection.closed || connection.endReason != null || idleTicks > maxIdleTicks) {
                iterator.remove();
                connection.close(ConnectionEndReason.IDLE);
            } else if (connection.quarantinePassed && (idempotent || reuseAgeBound.allows(idleTicks))) {
                iterator.remove();
                return connection;
            }
        }
        return null;
    }

    /** Returns whether another connection may be opened. Closes an idle one if no descriptor is free. */
    boolean ensureDescriptorAvailable() {
        return !descriptors.isExhausted() || closeOneIdle();
    }

    private boolean closeOneIdle() {
        for (var each : idleByEndpoint) {
            PooledConnection connection = each.value.pollFirst();
            if (connection != null) {
                connection.close(ConnectionEndReason.DESCRIPTOR_NEEDED);
                return true;
            }
        }
        return false;
    }

    /** Opens a connection for an attempt, and notifies the listener of the result. */
    void connect(OutboundAttempt attempt) {
        descriptors.acquire();
        counters.connectionsRequested++;
        Endpoint endpoint = attempt.endpoint;
        long requestedTicks = loop.clock().now();
        client.connect(new ConnectOptions().setRemoteAddress(endpoint.address).setTimeout((int) connectTimeoutMillis))
                .onSuccess(socket -> opened(attempt, socket, requestedTicks))
                .onFailure(e -> {
                    descriptors.release();
                    long durationTicks = loop.clock().now() - requestedTicks;
                    countEnded(ConnectionEndReason.CONNECT_FAILED, endpoint, 0, durationTicks);
                    listener.connectFailed(attempt);
                });
    }

    private void opened(OutboundAttempt attempt, NetSocket socket, long requestedTicks) {
        PooledConnection connection = new PooledConnection(
                attempt.endpoint,
                (NetSocketInternal) socket,
                requestedTicks,
                loop.clock().now(),
                listener);
        connection.onClosed(() -> closed(connection));
        connection.onExcessBytes(() -> excessBytes(connection));
        loop.lag().runWhenCaughtUp(() -> listener.connected(attempt, connection));
    }

    /**
     * Makes an endpoint single-use if its excess bytes arrived late, because they could have reached an attempt. Its
     * connections in quarantine stay open, to show whether it continues to send excess bytes.
     */
    private void excessBytes(PooledConnection source) {
        long now = loop.clock().now();
        if (now - source.idleSinceTicks < LATE_EXCESS_BYTES_TICKS) {
            return;
        }
        singleUse.add(source.endpoint, now);
        Deque<PooledConnection> idle = idleOf(source.endpoint);
        idle.stream()
                .filter(connection -> connection.quarantinePassed && connection.attemptsServed > 0)
                .toList()
                .forEach(connection -> closeSingleUse(idle, connection));
    }

    private static void closeSingleUse(Deque<PooledConnection> idle, PooledConnection connection) {
        idle.remove(connection);
        connection.close(ConnectionEndReason.SINGLE_USE);
    }

    private void closed(PooledConnection connection) {
        descriptors.release();
        connection.closed = true;
        ConnectionEndReason reason = connection.endReason;
        if (reason == null) {
            reason = connection.attempt == null ? ConnectionEndReason.ENDPOINT_CLOSED : ConnectionEndReason.BROKEN;
        }
        long openTicks = loop.clock().now() - connection.openedTicks;
        countEnded(reason, connection.endpoint, connection.attemptsServed, openTicks);
        Deque<PooledConnection> idle = idleByEndpoint.get(connection.endpoint.id);
        if (idle != null) {
            idle.remove(connection);
        }
        if (connection.attempt != null) {
            lowerReuseAge(connection);
            connection.endReason = reason;
            listener.connectionLost(connection.attempt);
        }
    }

    private void lowerReuseAge(PooledConnection connection) {
        long startedTicks = connection.attempt.startedTicks;
        if (connection.attemptsServed > 1 && loop.clock().now() - startedTicks < CLOSED_BEFORE_WRITE_TICKS) {
            reuseAgeBound.recordBreakAfterIdle(startedTicks - connection.idleSinceTicks);
        }
    }

    private void countEnded(ConnectionEndReason reason, Endpoint endpoint, int attemptsServed, long openTicks) {
        counters.connectionEnded("pooled", reason.logCode(), endpoint.name, attemptsServed, openTicks);
    }

    /**
     * Takes back a connection whose attempt has ended with a complete response, or that has served no attempt yet.
     *
     * <p>After a response, the connection is quarantined first. Endpoints may close a connection shortly after a
     * response, or send a second response. An attempt that is written before the close or the second response has been
     * read is lost, or gets the response to another attempt. The event loop reads what has arrived by the first of the
     * two timers before it runs the second one.
     */
    void release(PooledConnection connection) {
        connection.attempt = null;
        if (connection.closed || connection.endReason != null) {
            return;
        }
        if (!connection.endpoint.active) {
            connection.close(ConnectionEndReason.ENDPOINT_OUTDATED);
            return;
        }
        connection.idleSinceTicks = loop.clock().now();
        idleOf(connection.endpoint).addLast(connection);
        quickAckSupported = quickAckSupported && connection.acknowledgeImmediately();
        connection.quarantinePassed = connection.attemptsServed == 0;
        int quarantineNumber = ++connection.quarantines;
        vertx.setTimer(quarantineMillis, t -> vertx.setTimer(1, u -> endQuarantine(connection, quarantineNumber)));
    }

    private void endQuarantine(PooledConnection connection, int quarantineNumber) {
        boolean unused = connection.attemptsServed == 0;
        if (unused || connection.quarantines != quarantineNumber || connection.closed || connection.endReason != null) {
            return;
        }
        if (singleUse.contains(connection.endpoint, loop.clock().now())) {
            closeSingleUse(idleOf(connection.endpoint), connection);
        } else {
            connection.quarantinePassed = true;
        }
    }

    private Deque<PooledConnection> idleOf(Endpoint endpoint) {
        Deque<PooledConnection> idle = idleByEndpoint.get(endpoint.id);
        if (idle == null) {
            idle = new ArrayDeque<>();
            idleByEndpoint.put(endpoint.id, idle);
        }
        return idle;
    }

    /** Closes the idle connections to an endpoint that was removed from the list, drains, moved or restarted. */
    void closeIdle(Endpoint endpoint) {
        closeIdleSinceBefore(endpoint, ConnectionEndReason.ENDPOINT_OUTDATED, Long.MAX_VALUE);
        if (!endpoint.active) {
            idleByEndpoint.remove(endpoint.id);
            singleUse.remove(endpoint);
        }
    }

    /**
     * Closes the endpoint's connections that were already idle at the given time. Connections that have received a
     * response since then are known to lead to a live machine.
     */
    void closeSuspect(Endpoint endpoint, long timeTicks) {
        closeIdleSinceBefore(endpoint, ConnectionEndReason.SUSPECT, timeTicks);
    }

    private void closeIdleSinceBefore(Endpoint endpoint, ConnectionEndReason reason, long timeTicks) {
        Deque<PooledConnection> idle = idleByEndpoint.get(endpoint.id);
        while (idle != null && !idle.isEmpty() && idle.peekFirst().idleSinceTicks < timeTicks) {
            idle.pollFirst().close(reason);
        }
    }

    private void sweep() {
        long now = loop.clock().now();
        reuseAgeBound.grow(maxIdleTicks);
        for (var each : idleByEndpoint) {
            Deque<PooledConnection> idle = each.value;
            while (!idle.isEmpty() && now - idle.peekFirst().idleSinceTicks > maxIdleTicks) {
                idle.pollFirst().close(ConnectionEndReason.IDLE);
            }
        }
    }

    /** Closes all idle connections. The pool must not be used after this. */
    void close() {
        vertx.cancelTimer(sweepTimer);
        for (var each : idleByEndpoint) {
            new ArrayList<>(each.value).forEach(connection -> connection.close(ConnectionEndReason.POOL_CLOSED));
        }
        client.close();
    }
}
