package trestlegrade.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection whose reads may be interrupted (EINTR). The JDK reports an interrupted read of a non-blocking socket
 * as a number below {@link #END_OF_STREAM}, but Netty treats every negative number as the end of the stream. It would
 * close the connection, and data sent by the peer would be lost. Here such a read returns no bytes, and the event loop
 * reads again.
 */
final class InterruptibleSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;

    private final long backlogNanos;

    /** Creates a connection to an endpoint. */
    InterruptibleSocketChannel() {
        backlogNanos = 0;
    }

    /** Creates an accepted connection whose client waited at most {@code backlogNanos} in the listener's backlog. */
    InterruptibleSocketChannel(Channel listener, SocketChannel socket, long backlogNanos) {
        super(listener, socket);
        this.backlogNanos = backlogNanos;
    }

    /** Returns the maximum time that the client may have waited in the listener's backlog. */
    long backlogNanos() {
        return backlogNanos;
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int count = super.doReadBytes(into);
        return count < END_OF_STREAM ? 0 : count;
    }
}
