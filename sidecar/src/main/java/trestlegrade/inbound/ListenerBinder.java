package trestlegrade.inbound;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.SocketAddress;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.tinylog.Logger;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.metrics.AsyncLog;

/**
 * Binds the listener. If the system has no socket for the listener (EMFILE, ENFILE, ENOBUFS, ENOMEM), which is
 * temporary, the bind is retried for a while. An address that is in use is reported immediately.
 */
final class ListenerBinder {
    /** How long the bind is retried, which is well below the time that a start may take. */
    private static final long RETRY_WINDOW_TICKS = 100_000;

    private static final long RETRY_INTERVAL_MILLIS = 50;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final AsyncLog log;
    private final Supplier<SocketAddress> address;
    private final Supplier<HttpServer> newServer;

    /** {@code newServer} returns a new server for each try, because one that failed to bind cannot be reused. */
    ListenerBinder(
            Vertx vertx,
            MonotonicClock clock,
            AsyncLog log,
            Supplier<SocketAddress> address,
            Supplier<HttpServer> newServer) {
        this.vertx = vertx;
        this.clock = clock;
        this.log = log;
        this.address = address;
        this.newServer = newServer;
    }

    /** Returns the server once it listens. Fails with the cause of the last try. */
    Future<HttpServer> bind() {
        return bind(clock.now() + RETRY_WINDOW_TICKS);
    }

    private Future<HttpServer> bind(long deadline) {
        return newServer.get().listen().recover(cause -> {
            if (cause instanceof BindException || clock.now() >= deadline) {
                return Future.failedFuture(cause);
            }
            log.add(() -> Logger.warn("serve code=listen-again listen={} cause={}", address.get(), cause.getMessage()));
            return vertx.timer(RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS).compose(due -> bind(deadline));
        });
    }
}
