package trestlegrade.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection whose reads may be interrupted (EINTR). The JDK reports an interrupted read of a non-blocking socket
 * as a number below that of the end of the stream, and Netty takes each negative number for the end: it would close the
 * connection, and what the peer had sent would be lost. Here such a read counts as empty, and the loop reads again.
 */
final class InterruptibleSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;

    private final long backlogNanoseconds;

    /** A connection to an endpoint. */
    InterruptibleSocketChannel() {
        backlogNanoseconds = 0;
    }

    /** A connection that was accepted; its client waited no longer than that in the listener's backlog. */
    InterruptibleSocketChannel(Channel listener, SocketChannel socket, long backlogNanoseconds) {
        super(listener, socket);
        this.backlogNanoseconds = backlogNanoseconds;
    }

    /** How long its client may have waited in the listener's backlog, at most. */
    long backlogNanoseconds() {
        return backlogNanoseconds;
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int count = super.doReadBytes(into);
        return count < END_OF_STREAM ? 0 : count;
    }
}
