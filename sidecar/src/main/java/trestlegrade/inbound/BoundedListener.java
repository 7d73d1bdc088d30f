package trestlegrade.inbound;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import trestlegrade.eventloop.MonotonicClock;

/**
 * A listener that accepts connections only while a descriptor is available. Otherwise clients wait in the kernel's
 * backlog, because accepting and closing a connection would lose what the client has sent. Called on the listener's
 * event loop.
 */
final class BoundedListener extends NioServerSocketChannel {
    /**
     * The delay after a failed accept. It is long enough to avoid a busy loop and short enough not to delay responses.
     */
    private static final long ACCEPT_RETRY_DELAY_MILLIS = 10;

    private static final int MAX_ACCEPTS_PER_READ = 64;
    private static final long NO_CLIENT_WAITING = 0;
    /** The event loop polls its sockets between two consecutive timers of this length. */
    private static final long MIN_TIMER_MILLIS = 1;

    private final DescriptorBudget descriptors;
    private final Consumer<IOException> onAcceptFailed;
    private int acceptCount;
    /** The number of times that the event loop has found a client in the backlog. */
    private long readinessCount;
    /** Whether the latest accept failed, so that a client may still wait in the backlog. */
    private boolean lastAcceptFailed;
    /** The {@link System#nanoTime()} from which a client that could not be accepted may have been waiting. */
    private long waitingSinceNanos = NO_CLIENT_WAITING;

    /** {@code onAcceptFailed} is called for each accept that the operating system refuses. */
    @SuppressWarnings("deprecation") // The alternative to this setter would replace the receive buffer allocator.
    BoundedListener(DescriptorBudget descriptors, Consumer<IOException> onAcceptFailed) {
        this.descriptors = descriptors;
        this.onAcceptFailed = onAcceptFailed;
        // doReadMessages itself limits how many connections it accepts.
        config().setMaxMessagesPerRead(1);
        descriptors.onAvailable(() -> config().setAutoRead(true));
    }

    /**
     * Closes the listener once no client waits in its backlog, or at {@code deadline} (ticks). When a listener closes,
     * the kernel resets the connections that were not accepted, and what their clients have sent is lost.
     */
    void closeOnceDrained(MonotonicClock clock, long deadline, Runnable onClosed) {
        int acceptCountBefore = acceptCount;
        // If all descriptors are in use now, one that is released during the check goes to a client that already waits,
        // so the backlog does not count as drained.
        boolean exhausted = descriptors.isExhausted();
        afterNextPoll(() -> {
            boolean drained =
                    acceptCountBefore == acceptCount && !exhausted && !lastAcceptFailed && !descriptors.isExhausted();
            if (drained || clock.now() >= deadline) {
                close().addListener(closed -> onClosed.run());
            } else {
                closeOnceDrained(clock, deadline, onClosed);
            }
        });
    }

    /**
     * Runs the action after the event loop has polled its sockets. By then, waiting clients have been accepted if that
     * was possible.
     */
    private void afterNextPoll(Runnable action) {
        Runnable secondTimer = () -> eventLoop().schedule(action, MIN_TIMER_MILLIS, TimeUnit.MILLISECONDS);
        eventLoop().schedule(secondTimer, MIN_TIMER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Called while a client waits in the backlog. A client that is not accepted here continues to wait. */
    @Override
    protected int doReadMessages(List<Object> accepted) {
        readinessCount++;
        int count = 0;
        SocketChannel client = checkDescriptorAvailable() ? accept() : null;
        while (client != null) {
            accepted.add(newConnection(client));
            count++;
            boolean acceptMore = waitingSinceNanos != NO_CLIENT_WAITING
                    && count < MAX_ACCEPTS_PER_READ
                    && !descriptors.isExhausted();
            client = acceptMore ? accept() : null;
        }
        if (count > 0 && waitingSinceNanos != NO_CLIENT_WAITING) {
            clearWaitIfBacklogEmpty();
        }
        return count;
    }

    /**
     * Clears the start of the wait unless the next poll finds another client in the backlog. The last waiting client
     * may just have been accepted.
     */
    private void clearWaitIfBacklogEmpty() {
        long readinessCountBefore = readinessCount;
        afterNextPoll(() -> {
            if (readinessCountBefore == readinessCount && !lastAcceptFailed) {
                waitingSinceNanos = NO_CLIENT_WAITING;
            }
        });
    }

    /** Returns whether a descriptor is available for a client. If not, stops accepting until one is available. */
    private boolean checkDescriptorAvailable() {
        if (!descriptors.isExhausted()) {
            return true;
        }
        config().setAutoRead(false);
        // A descriptor released before auto-read was disabled would not have enabled it again.
        if (!descriptors.isExhausted()) {
            config().setAutoRead(true);
            return true;
        }
        markClientWaiting();
        descriptors.reportClientWaiting();
        return false;
    }

    /** Accepts a waiting client. Returns null if no client waits or the accept fails. */
    private SocketChannel accept() {
        try {
            SocketChannel client = javaChannel().accept();
            lastAcceptFailed = false;
            if (client == null) {
                waitingSinceNanos = NO_CLIENT_WAITING;
            }
            return client;
        } catch (IOException e) {
            retryLater(e);
            return null;
        }
    }

    private Channel newConnection(SocketChannel client) {
        descriptors.acquire();
        acceptCount++;
        long backlogNanos = waitingSinceNanos == NO_CLIENT_WAITING ? 0 : System.nanoTime() - waitingSinceNanos;
        Channel connection = new InterruptibleSocketChannel(this, client, backlogNanos);
        connection.closeFuture().addListener(closed -> descriptors.release());
        return connection;
    }

    private void markClientWaiting() {
        if (waitingSinceNanos == NO_CLIENT_WAITING) {
            waitingSinceNanos = System.nanoTime();
        }
    }

    /**
     * Accepts again after a short delay. The process or the whole system has run out of descriptors or buffers (EMFILE,
     * ENFILE, ENOBUFS, ENOMEM). Netty itself would stop accepting for a second, which is longer than many clients wait.
     */
    private void retryLater(IOException cause) {
        lastAcceptFailed = true;
        markClientWaiting();
        onAcceptFailed.accept(cause);
        config().setAutoRead(false);
        eventLoop().schedule(() -> config().setAutoRead(true), ACCEPT_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
