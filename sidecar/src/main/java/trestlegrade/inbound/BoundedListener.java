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
 * A listener that accepts no connection while there is no descriptor for one: the client waits in the kernel's backlog
 * instead. To accept and close the connection would lose what the client has sent. Called on the listener's event loop.
 */
final class BoundedListener extends NioServerSocketChannel {
    /** Behind a failed accept: neither a loop that spins nor a late answer. */
    private static final long ACCEPT_RETRY_MILLIS = 10;

    private static final int MAX_ACCEPTS_IN_A_ROW = 64;
    private static final long NOBODY_WAITS = 0;
    /** The loop looks at its sockets between two timers of this length that follow each other. */
    private static final long SHORTEST_TIMER_MILLIS = 1;

    private final DescriptorBudget descriptors;
    private final Consumer<IOException> onAcceptFailed;
    private int acceptCount;
    /** How often the loop has found a client in the backlog. */
    private long readinessCount;
    /** Whether the latest accept failed: a client may wait in the backlog. */
    private boolean failing;
    /** By {@link System#nanoTime()}, since when a client may wait that could not be accepted. */
    private long waitingSince = NOBODY_WAITS;

    /** {@code onAcceptFailed} is called for each accept that the system refuses. */
    @SuppressWarnings("deprecation") // The replacement takes the place of the allocator of receive buffers.
    BoundedListener(DescriptorBudget descriptors, Consumer<IOException> onAcceptFailed) {
        this.descriptors = descriptors;
        this.onAcceptFailed = onAcceptFailed;
        // doReadMessages counts and bounds by itself what it accepts.
        config().setMaxMessagesPerRead(1);
        descriptors.onAvailable(() -> config().setAutoRead(true));
    }

    /**
     * Closes the listener once no client waits in its backlog, or at {@code deadline} (ticks): with the listener the
     * kernel resets connections that were not accepted, and what their clients have sent is lost.
     */
    void closeOnceDrained(MonotonicClock clock, long deadline, Runnable onClosed) {
        int before = acceptCount;
        // A descriptor that is released while this looks belongs to clients that wait already: not drained yet.
        boolean exhausted = descriptors.isExhausted();
        afterNextLook(() -> {
            boolean drained = before == acceptCount && !exhausted && !failing && !descriptors.isExhausted();
            if (drained || clock.now() >= deadline) {
                close().addListener(closed -> onClosed.run());
            } else {
                closeOnceDrained(clock, deadline, onClosed);
            }
        });
    }

    /**
     * Runs the action once the loop has looked at its sockets: whoever waits has been accepted if that was possible.
     */
    private void afterNextLook(Runnable action) {
        Runnable second = () -> eventLoop().schedule(action, SHORTEST_TIMER_MILLIS, TimeUnit.MILLISECONDS);
        eventLoop().schedule(second, SHORTEST_TIMER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Called while a client waits: one that is not accepted here still does. */
    @Override
    protected int doReadMessages(List<Object> accepted) {
        readinessCount++;
        int count = 0;
        SocketChannel client = hasDescriptor() ? accept() : null;
        while (client != null) {
            accepted.add(connection(client));
            count++;
            boolean more = waitingSince != NOBODY_WAITS && count < MAX_ACCEPTS_IN_A_ROW && !descriptors.isExhausted();
            client = more ? accept() : null;
        }
        if (count > 0 && waitingSince != NOBODY_WAITS) {
            forgetWaitUnlessClientWaits();
        }
        return count;
    }

    /** The last client that waited may just have been accepted. If another one waits, the next look finds it. */
    private void forgetWaitUnlessClientWaits() {
        long before = readinessCount;
        afterNextLook(() -> {
            if (before == readinessCount && !failing) {
                waitingSince = NOBODY_WAITS;
            }
        });
    }

    /** Whether there is a descriptor for a client; if not, none is accepted until there is. */
    private boolean hasDescriptor() {
        if (!descriptors.isExhausted()) {
            return true;
        }
        config().setAutoRead(false);
        // One released before the line above would not have started the reading again.
        if (!descriptors.isExhausted()) {
            config().setAutoRead(true);
            return true;
        }
        clientWaits();
        descriptors.clientWaits();
        return false;
    }

    /** A client that waits; null if none does, or the system refuses the accept. */
    private SocketChannel accept() {
        try {
            SocketChannel client = javaChannel().accept();
            failing = false;
            if (client == null) {
                waitingSince = NOBODY_WAITS;
            }
            return client;
        } catch (IOException e) {
            retryLater(e);
            return null;
        }
    }

    private Channel connection(SocketChannel client) {
        descriptors.acquire();
        acceptCount++;
        long backlogNanoseconds = waitingSince == NOBODY_WAITS ? 0 : System.nanoTime() - waitingSince;
        Channel connection = new InterruptibleSocketChannel(this, client, backlogNanoseconds);
        connection.closeFuture().addListener(closed -> descriptors.release());
        return connection;
    }

    private void clientWaits() {
        if (waitingSince == NOBODY_WAITS) {
            waitingSince = System.nanoTime();
        }
    }

    /**
     * Out of descriptors or buffers, in this process or in the whole system (EMFILE, ENFILE, ENOBUFS, ENOMEM). Netty
     * would not accept for a second, which is longer than many clients wait.
     */
    private void retryLater(IOException cause) {
        failing = true;
        clientWaits();
        onAcceptFailed.accept(cause);
        config().setAutoRead(false);
        eventLoop().schedule(() -> config().setAutoRead(true), ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
