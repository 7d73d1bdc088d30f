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
 * One watch on discovery: one connection with one streamed response, from its opening to its end. It is not reopened;
 * its owner opens another. All calls come and go on the event loop.
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
    private int messages;
    private HttpClientConnection connection;
    private boolean ended;

    /** Is notified of what happens to its watches, in order. */
    interface Owner {
        /** Returns the version of the list after which changes are wanted. */
        long version();

        /** Nothing listens at the address; follows {@link #ended}. */
        void nothingListens(long openedAt);

        void connected();

        /** Bytes have come, which may be part of a message or an empty line. */
        void heard(DiscoveryWatch watch);

        void received(EndpointListMessage message);

        /** All that discovery has is known here: no part of a message is outstanding. */
        void confirmed();

        /** Called once. */
        void ended(DiscoveryWatch watch);
    }

    /** Why a watch ended, as the log and the counters show it. */
    enum EndReason {
        CONNECT_FAILED("connect-failed"),
        CLOSED("closed"),
        /** Discovery answered with a status other than 200; unlike a refused connection this renews no lease. */
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
            MonotonicClock clock, Counters counters, SocketAddress address, long suspicionJitterTicks, Owner owner) {
        this.clock = clock;
        this.counters = counters;
        this.address = address;
        this.owner = owner;
        openedAt = clock.now();
        liveness = new WatchLiveness(openedAt, suspicionJitterTicks);
    }

    /** Connects and asks for changes; does nothing if the watch was ended while it waited to be opened. */
    void open(HttpClientAgent client, int connectTimeoutMillis) {
        if (ended) {
            return;
        }
        openedAt = clock.now();
        liveness.heard(openedAt);
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

    /** Returns whether any message has come. */
    boolean delivered() {
        return messages > 0;
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
        counters.connectionEnded("watch", reason.code, address.toString(), messages, clock.now() - openedAt);
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
            owner.nothingListens(openedAt);
        }
    }

    /** Tells that nothing listens at the address from all other failures on the way or on this side. */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException
                && String.valueOf(cause.getMessage()).startsWith("Connection refused");
    }

    private void connected(HttpClientConnection newConnection) {
        connection = newConnection;
        connection.closeHandler(v -> end(EndReason.CLOSED, "connection ended"));
        if (ended) {
            connection.close();
            return;
        }
        owner.connected();
        RequestOptions request = new RequestOptions().setMethod(HttpMethod.GET).setURI(WATCH_PATH + owner.version());
        connection.request(request).compose(each -> each.send()).onComplete(response -> {
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
        liveness.heard(clock.now());
        EndpointListParser parser = new EndpointListParser(this::received);
        response.exceptionHandler(e -> end(EndReason.CLOSED, e));
        response.endHandler(v -> end(EndReason.CLOSED, "answer ended"));
        response.handler(bytes -> read(bytes, parser));
    }

    private void read(Buffer bytes, EndpointListParser parser) {
        // Empty lines within an unfinished object are no sign of life: the object may never be completed.
        if (parser.betweenObjects() || !EndpointListParser.isBlank(bytes)) {
            liveness.heard(clock.now());
        }
        owner.heard(this);
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

    private void received(JsonObject json) {
        if (ended) {
            return;
        }
        messages++;
        counters.listLines++;
        EndpointListMessage message = EndpointListMessage.of(json);
        owner.received(message);
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
