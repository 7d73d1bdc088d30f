package trestlegrade.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection whose reads may be interrupted (EINTR). The runtime tells an interrupted read of a socket that does not
 * block by a number below that of the stream's end, and the library takes each negative number for the end: the connection
 * was closed, and what its peer had sent was lost.
 */
final class InterruptibleSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;

    /** One that will be connected. */
    InterruptibleSocketChannel() { }

    /** One that was accepted. */
    InterruptibleSocketChannel(Channel listener, SocketChannel socket) {
        super(listener, socket);
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int count = super.doReadBytes(into);
        return count < END_OF_STREAM ? 0 : count;
    }
}
