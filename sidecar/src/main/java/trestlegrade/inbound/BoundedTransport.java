package trestlegrade.inbound;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.util.function.Consumer;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.eventloop.TimerRoundingIoHandler;
import trestlegrade.metrics.Counters;

/**
 * Vert.x's NIO transport with three differences: its event loops sleep until the next timer
 * ({@link TimerRoundingIoHandler}), its listener accepts within a budget of descriptors ({@link BoundedListener}), and
 * interrupted reads do not close a connection ({@link InterruptibleSocketChannel}).
 */
public final class BoundedTransport implements io.vertx.core.spi.transport.Transport {
    private final io.vertx.core.spi.transport.Transport nio = Transport.NIO.implementation();
    private final DescriptorBudget descriptors;
    private final Counters.Turns turns;
    private final Consumer<IOException> onAcceptFailed;
    private volatile BoundedListener listener;

    /**
     * Creates a transport whose listener uses the given descriptors.
     *
     * @param onAcceptFailed called on the listener's event loop for each accept that the operating system refuses
     */
    public BoundedTransport(DescriptorBudget descriptors, Counters.Turns turns, Consumer<IOException> onAcceptFailed) {
        this.descriptors = descriptors;
        this.turns = turns;
        this.onAcceptFailed = onAcceptFailed;
    }

    /** Returns this transport in the form that the builder of Vert.x takes. */
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
     * Closes the listener once no client waits in its backlog, or at {@code deadline}, a time of the clock in ticks.
     * {@code onClosed} is called on the listener's event loop, or immediately if there is no listener.
     */
    public void closeListener(MonotonicClock clock, long deadline, Runnable onClosed) {
        BoundedListener currentListener = listener;
        if (currentListener == null) {
            onClosed.run();
        } else {
            currentListener.eventLoop().execute(() -> currentListener.closeOnceDrained(clock, deadline, onClosed));
        }
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return () -> {
            listener = new BoundedListener(descriptors, onAcceptFailed);
            return listener;
        };
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
        return domainSocket ? nio.channelFactory(true) : InterruptibleSocketChannel::new;
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        return TimerRoundingIoHandler.wrap(nio.ioHandlerFactory(), turns);
    }

    @Override
    public DatagramChannel datagramChannel() {
        return nio.datagramChannel();
    }

    @Override
    @SuppressWarnings("deprecation")
    public DatagramChannel datagramChannel(InternetProtocolFamily family) {
        return nio.datagramChannel(family);
    }
}
