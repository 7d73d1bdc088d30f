package trestlegrade.discovery;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.net.SocketAddress;
import java.util.Objects;
import java.util.stream.Stream;
import org.tinylog.Logger;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Watches discovery for changes of the endpoint list over HTTP, and renews the lease of the list. Not thread-safe: it
 * is confined to the event loop.
 *
 * <p>One watch is in use at a time. If it is {@linkplain WatchLiveness.State#SUSPECT suspect}, a replacement is opened
 * in parallel. The suspect watch stays open until the replacement receives data or the watch counts as silent, because
 * it may only be late. When the last watch ends, the failure callback decides when {@link #watch} is called again;
 * where the list is pushed, this class reopens the watch itself.
 */
public final class DiscoveryClient implements EndpointListSource {
    private static final long CHECK_INTERVAL_MILLIS = 100;
    /** An agent responds within a few milliseconds, and no request is served until then. */
    private static final long AGENT_RESPONSE_TIMEOUT_MILLIS = 2_000;

    private final EventLoopContext loop;
    private final MonotonicClock clock;
    private final Counters counters;
    private final EndpointListListener listener;
    private final Runnable onFailure;
    private final EndpointListLease lease;
    private final HttpClientAgent client;
    private final WatchSchedule schedule;
    private final ListAgeWarning ageWarning = new ListAgeWarning();
    private final DiscoveryWatch.Owner watchOwner = new WatchOwner();
    private final Promise<Void> firstMessage = Promise.promise();
    private SocketAddress address;
    private long version;
    private long confirmedAt;
    private boolean leaseExpired;
    private DiscoveryWatch current;
    /** Replaces the current watch, which is suspect, as soon as it receives data itself. */
    private DiscoveryWatch replacement;

    /**
     * Creates a client that opens no watch yet.
     *
     * @param loop the event loop on which all methods are called
     * @param version the version of the list that is already known; only later changes are requested
     * @param listener is notified of the entries received
     * @param onFailure is run when the last watch has ended and {@link #watch} must be called again after a backoff
     * @param lease is renewed each time that discovery shows that the list is up to date
     * @param seed the seed of the jitter
     */
    public DiscoveryClient(
            EventLoopContext loop,
            Counters counters,
            SocketAddress address,
            long version,
            EndpointListListener listener,
            Runnable onFailure,
            EndpointListLease lease,
            long seed) {
        this.loop = loop;
        this.counters = counters;
        clock = loop.clock();
        this.address = address;
        this.version = version;
        this.listener = listener;
        this.onFailure = onFailure;
        this.lease = lease;
        schedule = new WatchSchedule(clock, seed);
        confirmedAt = clock.now();
        Vertx vertx = loop.vertx();
        client = vertx.createHttpClient(new HttpClientOptions().setPipelining(false));
        // After an event loop stall, a watch is checked for silence only once the data that arrived has been read.
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS, timer -> loop.lag().runWhenCaughtUp(this::checkLeaseAndWatch));
    }

    @Override
    public void watch() {
        if (current != null) {
            return;
        }
        DiscoveryWatch watch = newWatch();
        current = watch;
        long delayMillis = schedule.delayMillis();
        if (delayMillis > 0) {
            loop.vertx().setTimer(delayMillis, timer -> open(watch));
        } else {
            open(watch);
        }
    }

    @Override
    public void applySettings(PolicySettings settings) {
        schedule.applySettings(settings);
    }

    @Override
    public void changeAddress(SocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        DiscoveryWatch oldCurrent = current;
        DiscoveryWatch oldReplacement = replacement;
        // The fields are cleared first, because the end of the current watch would open another one.
        current = null;
        replacement = null;
        Stream.of(oldCurrent, oldReplacement)
                .filter(Objects::nonNull)
                .forEach(watch -> watch.end(DiscoveryWatch.EndReason.MOVED, "SIGHUP"));
        address = newAddress;
        lease.discoveryMoved(clock.now());
        schedule.addressChanged();
        watch();
    }

    /**
     * {@inheritDoc}
     *
     * <p>Where the list is pushed, a new process counts as notified of everything that its agent knows as soon as it
     * starts. It therefore waits for the agent's first message, for 2 s at most. Elsewhere the initial list is usable.
     */
    @Override
    public Future<Void> firstListReceived() {
        if (!schedule.pushed()) {
            return Future.succeededFuture();
        }
        loop.vertx().setTimer(AGENT_RESPONSE_TIMEOUT_MILLIS, timer -> firstMessage.tryComplete());
        return firstMessage.future();
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public long ageMillis() {
        return (clock.now() - confirmedAt) / MonotonicClock.TICKS_PER_MILLI;
    }

    private DiscoveryWatch newWatch() {
        counters.watches++;
        return new DiscoveryWatch(clock, counters, address, schedule.replacementJitterTicks(), watchOwner);
    }

    private void open(DiscoveryWatch watch) {
        watch.open(client, schedule.connectTimeoutMillis());
    }

    /** Periodically checks for an expired lease, for an old list and for a silent watch. */
    private void checkLeaseAndWatch() {
        logLeaseChange();
        warnIfListIsOld();
        if (current == null) {
            return;
        }
        long now = clock.now();
        switch (current.state(now)) {
            case SILENT ->
                current.end(DiscoveryWatch.EndReason.SILENT, "no data for " + current.quietMillis(now) + " ms");
            case SUSPECT -> replaceCurrent(now);
            case LIVE -> {}
        }
    }

    private void replaceCurrent(long now) {
        if (replacement == null && schedule.mayReplace(now)) {
            replacement = newWatch();
            open(replacement);
        }
    }

    private void logLeaseChange() {
        boolean expired = !lease.isValid(clock.now());
        if (expired == leaseExpired) {
            return;
        }
        leaseExpired = expired;
        counters.leasesExpired += expired ? 1 : 0;
        logList(expired ? "expired" : "renewed", ageMillis());
    }

    private void warnIfListIsOld() {
        long unconfirmedMillis = ageMillis();
        if (ageWarning.isDue(unconfirmedMillis)) {
            logList("unconfirmed", unconfirmedMillis);
        }
    }

    private void logList(String code, long unconfirmedMillis) {
        long loggedVersion = version;
        counters.log.add(
                () -> Logger.warn("list code={} version={} unconfirmed_ms={}", code, loggedVersion, unconfirmedMillis));
    }

    private final class WatchOwner implements DiscoveryWatch.Owner {

        @Override
        public long version() {
            return version;
        }

        @Override
        public void connectionRefused(long openedAt) {
            lease.discoveryUnreachable(openedAt);
        }

        @Override
        public void connected() {
            if (schedule.pushed()) {
                // An agent sends all that it knows immediately. While it is cut off from discovery, it is silent and
                // learns of no changes. Therefore the connection alone confirms the list.
                confirmed();
            }
        }

        @Override
        public void bytesReceived(DiscoveryWatch watch) {
            if (replacement == watch) {
                DiscoveryWatch suspectWatch = current;
                current = watch;
                replacement = null;
                suspectWatch.end(DiscoveryWatch.EndReason.SILENT, "replacement watch received data");
            }
        }

        @Override
        public void messageReceived(EndpointListMessage message) {
            firstMessage.tryComplete();
            schedule.messageReceived();
            if (message.entries() != null) {
                listener.updated(message.entries(), message.snapshot());
            }
            // The version advances only with a message that was applied in full; other changes are requested again.
            if (message.fault() == null) {
                version = message.version();
            }
        }

        @Override
        public void confirmed() {
            // Data that is read after an event loop stall may have been written before the stall.
            confirmedAt = clock.now() - Math.max(0, loop.lag().readDelayTicks());
            lease.renew(confirmedAt);
        }

        @Override
        public void ended(DiscoveryWatch watch) {
            if (replacement == watch) {
                replacement = null;
                schedule.replacementEnded();
            } else if (current == watch) {
                current = replacement;
                replacement = null;
                if (current == null) {
                    lastWatchEnded(watch);
                }
            }
        }

        private void lastWatchEnded(DiscoveryWatch watch) {
            if (schedule.pushed()) {
                lease.pushWatchEnded(clock.now());
                schedule.agentWatchEnded();
                watch();
            } else {
                schedule.watchEnded(watch.openedAt(), watch.hasReceivedMessages());
                onFailure.run();
            }
        }
    }
}
