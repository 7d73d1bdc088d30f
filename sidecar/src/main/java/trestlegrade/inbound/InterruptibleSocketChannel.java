package trestlegrade.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection whose reads may be interrupted (EINTR). The runtime tells an interrupted read of a socket that does
 * not block by a number below that of the stream's end, and the library takes each negative number for the end: the
 * connection was closed, and what its peer had sent was lost.
 */
final class InterruptibleSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;

    private final long queuedNanoseconds;

    /** One that will be connected. */
    InterruptibleSocketChannel() {
        queuedNanoseconds = 0;
    }

    /** One that was accepted; its client may have waited for that for so long. */
    InterruptibleSocketChannel(Channel listener, SocketChannel socket, long queuedNanoseconds) {
        super(listener, socket);
        this.queuedNanoseconds = queuedNanoseconds;
    }

    /** How long its client may have waited in the listener's queue, at the most. */
    long queuedNanoseconds() {
        return queuedNanoseconds;
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int count = super.doReadBytes(into);
        return count < END_OF_STREAM ? 0 : count;
    }
}
