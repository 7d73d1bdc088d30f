package trestlegrade.discovery;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;
import org.tinylog.Logger;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.metrics.Counters;

/**
 * One watch on discovery: one connection with one streamed response. It is not reopened after its end; its owner opens
 * another one instead. All calls and callbacks are on the event loop.
 */
final class DiscoveryWatch {
    private static final String WATCH_PATH = "/catalog/members?stream=1&index=";
    private static final int STATUS_OK = 200;

    private final MonotonicClock clock;
    private final Counters counters;
    private final SocketAddress address;
    private final Owner owner;
    private final WatchLiveness liveness;
    private long openedAt;
    private int messageCount;
    private HttpClientConnection connection;
    private boolean ended;

    /** Is notified of the events of its watches, in order. */
    interface Owner {
        /** Returns the version of the list after which changes are requested. */
        long version();

        /** Nothing listens at the address. Called after {@link #ended}. */
        void connectionRefused(long openedAt);

        void connected();

        /** Bytes were received, which may be part of a message or an empty line. */
        void bytesReceived(DiscoveryWatch watch);

        void messageReceived(EndpointListMessage message);

        /** All changes that discovery has sent are known: no message is incomplete. */
        void confirmed();

        /** Called once for each watch. */
        void ended(DiscoveryWatch watch);
    }

    /** Why a watch ended; the code appears in the log and in the counters. */
    enum EndReason {
        CONNECT_FAILED("connect-failed"),
        CLOSED("closed"),
        /** The response's status is not 200. This does not renew the lease, while a refused connection does. */
        REFUSED("refused"),
        MALFORMED("malformed"),
        SILENT("silent"),
        MOVED("moved");

        private final String code;

        EndReason(String code) {
            this.code = code;
        }
    }

    DiscoveryWatch(
            MonotonicClock clock, Counters counters, SocketAddress address, long replacementJitterTicks, Owner owner) {
        this.clock = clock;
        this.counters = counters;
        this.address = address;
        this.owner = owner;
        openedAt = clock.now();
        liveness = new WatchLiveness(openedAt, replacementJitterTicks);
    }

    /** Connects and requests changes. Does nothing if the watch was ended while it waited to be opened. */
    void open(HttpClientAgent client, int connectTimeoutMillis) {
        if (ended) {
            return;
        }
        openedAt = clock.now();
        liveness.dataReceived(openedAt);
        client.connect(new HttpConnectOptions()
                        .setServer(address)
                        .setHost(address.host())
                        .setPort(address.port())
                        .setConnectTimeout(connectTimeoutMillis))
                .onSuccess(this::connected)
                .onFailure(this::connectFailed);
    }

    long openedAt() {
        return openedAt;
    }

    /** Returns whether any message was received. */
    boolean hasReceivedMessages() {
        return messageCount > 0;
    }

    WatchLiveness.State state(long now) {
        return liveness.state(now);
    }

    long quietMillis(long now) {
        return liveness.quietTicks(now) / MonotonicClock.TICKS_PER_MILLI;
    }

    /** Closes the watch and notifies its owner; does nothing if it has ended. */
    void end(EndReason reason, String cause) {
        if (ended) {
            return;
        }
        ended = true;
        counters.connectionEnded("watch", reason.code, address.toString(), messageCount, clock.now() - openedAt);
        long version = owner.version();
        long quietMillis = quietMillis(clock.now());
        counters.log.add(() ->
                Logger.info("list code=watch-ended cause={} version={} quiet_ms={}", cause, version, quietMillis));
        if (connection != null) {
            connection.close();
        }
        owner.ended(this);
    }

    private void end(EndReason reason, Throwable cause) {
        end(reason, cause.getClass().getSimpleName() + " " + cause.getMessage());
    }

    private void connectFailed(Throwable cause) {
        end(EndReason.CONNECT_FAILED, cause);
        if (isRefused(cause)) {
            owner.connectionRefused(openedAt);
        }
    }

    /** Distinguishes a refused connection from all other failures on the network or on this side. */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException
                && String.valueOf(cause.getMessage()).startsWith("Connection refused");
    }

    private void connected(HttpClientConnection newConnection) {
        connection = newConnection;
        connection.closeHandler(v -> end(EndReason.CLOSED, "connection closed"));
        if (ended) {
            connection.close();
            return;
        }
        owner.connected();
        RequestOptions request = new RequestOptions().setMethod(HttpMethod.GET).setURI(WATCH_PATH + owner.version());
        connection.request(request).compose(opened -> opened.send()).onComplete(response -> {
            if (response.failed()) {
                end(EndReason.CLOSED, response.cause());
            } else if (response.result().statusCode() != STATUS_OK) {
                end(EndReason.REFUSED, "status " + response.result().statusCode());
            } else {
                read(response.result());
            }
        });
    }

    private void read(HttpClientResponse response) {
        liveness.dataReceived(clock.now());
        EndpointListParser parser = new EndpointListParser(this::parsed);
        response.exceptionHandler(e -> end(EndReason.CLOSED, e));
        response.endHandler(v -> end(EndReason.CLOSED, "response ended"));
        response.handler(bytes -> read(bytes, parser));
    }

    private void read(Buffer bytes, EndpointListParser parser) {
        // An empty line within an incomplete object does not count as received data, because the object may never be
        // completed.
        if (parser.betweenObjects() || !EndpointListParser.isBlank(bytes)) {
            liveness.dataReceived(clock.now());
        }
        owner.bytesReceived(this);
        if (ended) {
            return;
        }
        try {
            parser.read(bytes);
            if (!ended && parser.betweenObjects()) {
                owner.confirmed();
            }
        } catch (RuntimeException e) {
            malformed(e.getMessage());
        }
    }

    private void parsed(JsonObject json) {
        if (ended) {
            return;
        }
        messageCount++;
        counters.listLines++;
        EndpointListMessage message = EndpointListMessage.of(json);
        owner.messageReceived(message);
        if (message.fault() != null) {
            malformed(message.fault());
        }
    }

    private void malformed(String cause) {
        counters.badLines++;
        counters.log.add(() -> Logger.warn("list code=bad-line cause={}", cause));
        end(EndReason.MALFORMED, cause);
    }
}
