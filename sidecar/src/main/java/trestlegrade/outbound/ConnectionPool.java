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
 * Connections to endpoints: opens them, keeps the idle ones of each endpoint, and closes them when they are too old or
 * of no more use. All calls are on the event loop.
 */
final class ConnectionPool {

    /** Told of the connections that it asked for and of those that end under an attempt. */
    interface Listener extends PooledConnection.Listener {
        /** The attempt's connection could not be opened. */
        void connectFailed(OutboundAttempt attempt);

        /** The attempt's connection is open, or was: it may have ended since. */
        void connected(OutboundAttempt attempt, PooledConnection connection);

        /** The connection that carries the attempt has ended. */
        void connectionLost(OutboundAttempt attempt);
    }

    private static final long SWEEP_MILLIS = 500;

    /** An endpoint that has begun on an attempt breaks it later than one that had closed the connection before. */
    private static final long BROKE_AT_ONCE_TICKS = 5 * MonotonicClock.TICKS_PER_MILLI;

    /** Half of the quarantine: what comes sooner is kept from other attempts by that alone, with as much to spare. */
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
    /** Until the system refuses it once: a refusal behind each response would cost as much as the option itself. */
    private boolean quickAckSupported = true;

    /**
     * A pool without connections.
     *
     * @param quarantineMillis how long a connection is left alone behind a response, see {@link #release}
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

    /** New settings: for connections from now on, and for how long those that are open may be idle. */
    void reload(SidecarConfig config) {
        connectTimeoutMillis = Math.max(1, config.connectTimeoutTicks() / MonotonicClock.TICKS_PER_MILLI);
        // A fifth of the endpoint's own time is left for what is under way and for a late event loop.
        maxIdleTicks = config.idleTimeoutTicks() * 4 / 5;
    }

    long connectTimeoutMillis() {
        return connectTimeoutMillis;
    }

    /** Connections that are open or being opened. */
    int size() {
        return descriptors.inUse();
    }

    /**
     * Takes an idle connection for an attempt: the one used last, so that the surplus ages and is closed. Null if there
     * is none that may be used.
     */
    PooledConnection takeIdle(OutboundAttempt attempt) {
        Deque<PooledConnection> idle = idleByEndpoint.get(attempt.endpoint.id);
        if (idle == null) {
            return null;
        }
        long now = loop.clock().now();
        boolean idempotent = attempt.request.metadata.idempotent();
        for (Iterator<PooledConnection> each = idle.descendingIterator(); each.hasNext(); ) {
            PooledConnection connection = each.next();
            long idleTicks = now - connection.idleSinceTicks;
            if (connection.closed || connection.end != null || idleTicks > maxIdleTicks) {
                each.remove();
                connection.close(ConnectionEnd.IDLE);
            } else if (connection.quarantinePassed && (idempotent || reuseAgeBound.allows(idleTicks))) {
                each.remove();
                return connection;
            }
        }
        return null;
    }

    /** Whether another connection may be opened, if need be because an idle one has been closed for it. */
    boolean makeRoom() {
        return !descriptors.isExhausted() || closeOneIdle();
    }

    private boolean closeOneIdle() {
        for (var each : idleByEndpoint) {
            PooledConnection connection = each.value.pollFirst();
            if (connection != null) {
                connection.close(ConnectionEnd.DESCRIPTOR_NEEDED);
                return true;
            }
        }
        return false;
    }

    /** Opens a connection for an attempt; the listener is told of the result. */
    void connect(OutboundAttempt attempt) {
        descriptors.acquire();
        counters.connectionsRequested++;
        Endpoint endpoint = attempt.endpoint;
        long requestedTicks = loop.clock().now();
        client.connect(new ConnectOptions().setRemoteAddress(endpoint.address).setTimeout((int) connectTimeoutMillis))
                .onSuccess(socket -> opened(attempt, socket, requestedTicks))
                .onFailure(e -> {
                    descriptors.release();
                    long tookTicks = loop.clock().now() - requestedTicks;
                    count(ConnectionEnd.CONNECT_FAILED, endpoint, 0, tookTicks);
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
        connection.whenClosed(() -> closed(connection));
        connection.whenExcessBytes(() -> excessBytes(connection));
        loop.lag().runWhenCaughtUp(() -> listener.connected(attempt, connection));
    }

    /** Late ones could have met an attempt. A connection in quarantine stays, to show whether the endpoint goes on. */
    private void excessBytes(PooledConnection from) {
        long now = loop.clock().now();
        if (now - from.idleSinceTicks < LATE_EXCESS_BYTES_TICKS) {
            return;
        }
        singleUse.begin(from.endpoint, now);
        Deque<PooledConnection> idle = idleOf(from.endpoint);
        idle.stream()
                .filter(connection -> connection.quarantinePassed && connection.attemptsCarried > 0)
                .toList()
                .forEach(connection -> retire(idle, connection));
    }

    private static void retire(Deque<PooledConnection> idle, PooledConnection connection) {
        idle.remove(connection);
        connection.close(ConnectionEnd.SINGLE_USE);
    }

    private void closed(PooledConnection connection) {
        descriptors.release();
        connection.closed = true;
        ConnectionEnd end = connection.end;
        if (end == null) {
            end = connection.attempt == null ? ConnectionEnd.ENDPOINT_CLOSED : ConnectionEnd.BROKEN;
        }
        long openTicks = loop.clock().now() - connection.openedTicks;
        count(end, connection.endpoint, connection.attemptsCarried, openTicks);
        Deque<PooledConnection> idle = idleByEndpoint.get(connection.endpoint.id);
        if (idle != null) {
            idle.remove(connection);
        }
        if (connection.attempt != null) {
            lowerReuseAge(connection);
            connection.end = end;
            listener.connectionLost(connection.attempt);
        }
    }

    private void lowerReuseAge(PooledConnection connection) {
        long startedTicks = connection.attempt.startedTicks;
        if (connection.attemptsCarried > 1 && loop.clock().now() - startedTicks < BROKE_AT_ONCE_TICKS) {
            reuseAgeBound.brokeAfterIdle(startedTicks - connection.idleSinceTicks);
        }
    }

    private void count(ConnectionEnd end, Endpoint endpoint, int attemptsCarried, long openTicks) {
        counters.connectionEnded("pooled", end.logCode(), endpoint.name, attemptsCarried, openTicks);
    }

    /**
     * Takes back a connection whose attempt has ended with a complete response, or that has carried none yet.
     *
     * <p>It is in quarantine at first. Endpoints close connections shortly behind a response or send a second one: an
     * attempt written before that has been read is lost, or gets another attempt's response. What has come by the first
     * timer is read by the event loop before the second.
     */
    void release(PooledConnection connection) {
        connection.attempt = null;
        if (connection.closed || connection.end != null) {
            return;
        }
        if (!connection.endpoint.active) {
            connection.close(ConnectionEnd.ENDPOINT_OUTDATED);
            return;
        }
        connection.idleSinceTicks = loop.clock().now();
        idleOf(connection.endpoint).addLast(connection);
        quickAckSupported = quickAckSupported && connection.acknowledgeAtOnce();
        connection.quarantinePassed = connection.attemptsCarried == 0;
        int quarantine = ++connection.quarantines;
        vertx.setTimer(quarantineMillis, t -> vertx.setTimer(1, u -> endQuarantine(connection, quarantine)));
    }

    private void endQuarantine(PooledConnection connection, int quarantine) {
        boolean carriedNone = connection.attemptsCarried == 0;
        if (carriedNone || connection.quarantines != quarantine || connection.closed || connection.end != null) {
            return;
        }
        if (singleUse.contains(connection.endpoint, loop.clock().now())) {
            retire(idleOf(connection.endpoint), connection);
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

    /** Closes the idle connections to an endpoint that left, drains, moved or started anew. */
    void closeIdle(Endpoint endpoint) {
        closeIdleSinceBefore(endpoint, ConnectionEnd.ENDPOINT_OUTDATED, Long.MAX_VALUE);
        if (!endpoint.active) {
            idleByEndpoint.remove(endpoint.id);
            singleUse.remove(endpoint);
        }
    }

    /**
     * Closes the endpoint's connections that were idle at that time already. Those that have carried a response since
     * are known to lead to a live machine.
     */
    void closeSuspect(Endpoint endpoint, long sinceTicks) {
        closeIdleSinceBefore(endpoint, ConnectionEnd.SUSPECT, sinceTicks);
    }

    private void closeIdleSinceBefore(Endpoint endpoint, ConnectionEnd end, long ticks) {
        Deque<PooledConnection> idle = idleByEndpoint.get(endpoint.id);
        while (idle != null && !idle.isEmpty() && idle.peekFirst().idleSinceTicks < ticks) {
            idle.pollFirst().close(end);
        }
    }

    private void sweep() {
        long now = loop.clock().now();
        reuseAgeBound.grow(maxIdleTicks);
        for (var each : idleByEndpoint) {
            Deque<PooledConnection> idle = each.value;
            while (!idle.isEmpty() && now - idle.peekFirst().idleSinceTicks > maxIdleTicks) {
                idle.pollFirst().close(ConnectionEnd.IDLE);
            }
        }
    }

    /** Closes all idle connections; the pool is of no further use. */
    void close() {
        vertx.cancelTimer(sweepTimer);
        for (var each : idleByEndpoint) {
            new ArrayList<>(each.value).forEach(connection -> connection.close(ConnectionEnd.POOL_CLOSED));
        }
        client.close();
    }
}
