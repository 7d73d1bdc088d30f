package trestlegrade.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.transport.Transport;
import java.util.List;

/**
 * Vert.x's usual transport, but its loop sleeps between timers ({@link Naps}), and its listener accepts no
 * connection while there is no descriptor for one: the client waits in the listener's queue instead. To accept and
 * close it would lose what it has sent.
 */
final class Door implements io.vertx.core.spi.transport.Transport {
    private final io.vertx.core.spi.transport.Transport usual = Transport.NIO.implementation();
    private final Descriptors descriptors;
    private final Counters.Turns turns;

    Door(Descriptors descriptors, Counters.Turns turns) {
        this.descriptors = descriptors;
        this.turns = turns;
    }

    /** As Vert.x's builder takes it. */
    Transport transport() {
        return new Transport() {
            @Override
            public String name() {
                return "door";
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
                return Door.this;
            }
        };
    }

    private final class Listener extends NioServerSocketChannel {
        Listener() {
            // One at a time, so that each is counted before the next is accepted.
            config().setMaxMessagesPerRead(1);
            descriptors.whenFree(() -> config().setAutoRead(true));
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (descriptors.full()) {
                config().setAutoRead(false);
                if (descriptors.full()) {
                    return 0;
                }
                config().setAutoRead(true);
            }
            int before = accepted.size();
            int count = super.doReadMessages(accepted);
            for (Object each : accepted.subList(before, accepted.size())) {
                descriptors.take();
                ((Channel) each).closeFuture().addListener(closed -> descriptors.giveBack());
            }
            return count;
        }
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return Listener::new;
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
        return usual.channelFactory(domainSocket);
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        return Naps.over(usual.ioHandlerFactory(), turns);
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
