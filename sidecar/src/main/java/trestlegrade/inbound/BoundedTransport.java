package trestlegrade.inbound;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import trestlegrade.metrics.Counters;
import trestlegrade.runtime.MonotonicClock;
import trestlegrade.runtime.TimerRoundingIoHandler;

/**
 * Vert.x's usual transport, but its loop sleeps between timers ({@link TimerRoundingIoHandler}), and its listener
 * accepts no connection while there is no descriptor for one: the client waits in the listener's queue instead. To
 * accept and close it would lose what it has sent.
 */
public final class BoundedTransport implements io.vertx.core.spi.transport.Transport {
    private final io.vertx.core.spi.transport.Transport usual = Transport.NIO.implementation();
    private final DescriptorBudget descriptors;
    private final Counters.Turns turns;
    private final Consumer<IOException> acceptFailed;
    private volatile Listener listener;

    /** {@code acceptFailed} is told of each accept that the system refuses, on the loop of the listener. */
    public BoundedTransport(DescriptorBudget descriptors, Counters.Turns turns, Consumer<IOException> acceptFailed) {
        this.descriptors = descriptors;
        this.turns = turns;
        this.acceptFailed = acceptFailed;
    }

    /** As Vert.x's builder takes it. */
    public Transport transport() {
        return new Transport() {
            @Override
            public String name() {
                return "bounded";
            }

            @Override
            public boolean available() {
                return true;
            }

            @Override
            public Throwable unavailabilityCause() {
                return null;
            }

            @Override
            public io.vertx.core.spi.transport.Transport implementation() {
                return BoundedTransport.this;
            }
        };
    }

    /**
     * Ends the listener once nobody waits in its queue: with it the kernel resets those that it has let in and the
     * program has not, and what they have sent is lost. At the last moment it ends whoever waits. {@code then} is told
     * from the listener's own loop.
     */
    public void shut(MonotonicClock clock, long lastMoment, Runnable then) {
        Listener open = listener;
        if (open == null) {
            then.run();
        } else {
            open.eventLoop().execute(() -> open.drain(clock, lastMoment, then));
        }
    }

    private final class Listener extends NioServerSocketChannel {
        /** Milliseconds until the next try behind an accept that failed: neither a spinning loop nor a late answer. */
        private static final long ACCEPT_RETRY = 10;

        /** How many are accepted in a row where some had to wait. */
        private static final int ACCEPTED_AT_ONCE = 64;

        private static final long NOBODY = 0;

        private int letIn;
        /** How often the loop has found somebody waiting. */
        private long looks;
        /** Whether the latest accept failed, so that somebody may wait in the queue. */
        private boolean failing;
        /** Since when somebody may wait in the queue whom this could not accept. */
        private long waitingSince = NOBODY;

        @SuppressWarnings("deprecation") // The replacement takes the place of the allocator of receive buffers.
        Listener() {
            // One look for each call below, which counts and bounds by itself what it accepts.
            config().setMaxMessagesPerRead(1);
            listener = this;
            descriptors.whenFree(() -> config().setAutoRead(true));
        }

        private void drain(MonotonicClock clock, long lastMoment, Runnable then) {
            int before = letIn;
            // Freed by what runs beside this look (the end of those that stand idle), for nobody who waits yet: the
            // listener ended with all of them still in its queue.
            boolean full = descriptors.full();
            // The loop looks at its sockets between two timers that follow each other.
            eventLoop()
                    .schedule(
                            () -> eventLoop()
                                    .schedule(
                                            () -> {
                                                if ((before == letIn && !full && !failing && !descriptors.full())
                                                        || clock.now() >= lastMoment) {
                                                    close().addListener(closed -> then.run());
                                                } else {
                                                    drain(clock, lastMoment, then);
                                                }
                                            },
                                            1,
                                            TimeUnit.MILLISECONDS),
                            1,
                            TimeUnit.MILLISECONDS);
        }

        /** Called while somebody waits, so what is not let in here still does. */
        @Override
        protected int doReadMessages(List<Object> accepted) {
            looks++;
            int count = 0;
            SocketChannel client = hasRoom() ? accept() : null;
            while (client != null) {
                accepted.add(letIn(client));
                count++;
                boolean more = waitingSince != NOBODY && count < ACCEPTED_AT_ONCE && !descriptors.full();
                client = more ? accept() : null;
            }
            if (count > 0 && waitingSince != NOBODY) {
                forgetUnlessSomebodyWaits();
            }
            return count;
        }

        /**
         * Who waited last may just have been let in. With room for one more this is called again for whoever waits,
         * before the second of two timers that follow each other.
         */
        private void forgetUnlessSomebodyWaits() {
            long before = looks;
            eventLoop()
                    .schedule(
                            () -> eventLoop()
                                    .schedule(
                                            () -> {
                                                if (before == looks && !failing) {
                                                    waitingSince = NOBODY;
                                                }
                                            },
                                            1,
                                            TimeUnit.MILLISECONDS),
                            1,
                            TimeUnit.MILLISECONDS);
        }

        /** Whether there is a descriptor for one more; if not, this accepts none until there is. */
        private boolean hasRoom() {
            if (!descriptors.full()) {
                return true;
            }
            config().setAutoRead(false);
            if (!descriptors.full()) {
                config().setAutoRead(true);
                return true;
            }
            somebodyWaits();
            descriptors.awaited();
            return false;
        }

        /** Whoever waits; null if nobody does, or the system does not let anybody in. */
        private SocketChannel accept() {
            try {
                SocketChannel client = javaChannel().accept();
                failing = false;
                if (client == null) {
                    waitingSince = NOBODY;
                }
                return client;
            } catch (IOException e) {
                retryLater(e);
                return null;
            }
        }

        private Channel letIn(SocketChannel client) {
            descriptors.take();
            letIn++;
            long queued = waitingSince == NOBODY ? 0 : System.nanoTime() - waitingSince;
            Channel connection = new InterruptibleSocketChannel(this, client, queued);
            connection.closeFuture().addListener(closed -> descriptors.giveBack());
            return connection;
        }

        private void somebodyWaits() {
            if (waitingSince == NOBODY) {
                waitingSince = System.nanoTime();
            }
        }

        /**
         * Out of descriptors or of buffers, in this process or in the whole system (EMFILE, ENFILE, ENOBUFS, ENOMEM).
         * Left to the library, the listener would not accept for a second, longer than many clients wait.
         */
        private void retryLater(IOException cause) {
            failing = true;
            somebodyWaits();
            acceptFailed.accept(cause);
            config().setAutoRead(false);
            eventLoop().schedule(() -> config().setAutoRead(true), ACCEPT_RETRY, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return Listener::new;
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
        return domainSocket ? usual.channelFactory(true) : InterruptibleSocketChannel::new;
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        return TimerRoundingIoHandler.over(usual.ioHandlerFactory(), turns);
    }

    @Override
    public DatagramChannel datagramChannel() {
        return usual.datagramChannel();
    }

    @Override
    @SuppressWarnings("deprecation")
    public DatagramChannel datagramChannel(InternetProtocolFamily family) {
        return usual.datagramChannel(family);
    }
}
