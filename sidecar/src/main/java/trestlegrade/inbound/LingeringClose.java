package trestlegrade.inbound;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Closes a connection behind a response without a reset. To close a socket with unread bytes resets it, and the client
 * loses what it has not read of the response. So a close, of this program or of the library, ends only this side at
 * first; what the client still sends is read and dropped until it closes its side, or nothing more comes.
 */
final class LingeringClose extends ChannelDuplexHandler {
    private static final long TICKS_PER_MILLISECOND = 10;
    /** What a client had under way comes within a few milliseconds; the descriptor is held for so long. */
    private static final long QUIET_TICKS = 1_000;

    private static final long MAX_LINGER_TICKS = 10_000;
    /** A client that was answered in the midst of its request goes on sending it, perhaps slowly. */
    private static final long PARTIAL_QUIET_TICKS = 10_000;

    private static final long PARTIAL_MAX_LINGER_TICKS = 30_000;

    private final StrictRequestDecoder decoder;
    private final MonotonicClock clock;
    private final EventLoopLag lag;
    private boolean finalResponse;
    private long responseWrittenAt = Long.MIN_VALUE / 2;
    private boolean lingering;
    private ChannelHandlerContext context;

    LingeringClose(StrictRequestDecoder decoder, MonotonicClock clock, EventLoopLag lag) {
        this.decoder = decoder;
        this.clock = clock;
        this.lag = lag;
    }

    /** Whether this side has ended the connection behind a response that is written. */
    boolean isLingering() {
        return lingering;
    }

    /** Closes the connection at once; what is still to be read or written is lost. */
    void closeNow() {
        context.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void write(ChannelHandlerContext context, Object part, ChannelPromise promise) throws Exception {
        if (part instanceof HttpResponse head) {
            finalResponse = head.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        }
        ChannelPromise written = promise;
        if (finalResponse && part instanceof LastHttpContent) {
            written = promise.unvoid();
            written.addListener(done -> responseWrittenAt = clock.now());
        }
        super.write(context, part, written);
    }

    /** An idle connection is closed at once. The library and this program may both close the same one. */
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
        if (lingering) {
            context.channel().closeFuture().addListener(closed -> promise.trySuccess());
        } else if (isBehindResponse() && context.channel().isActive()) {
            linger(context, promise);
        } else {
            super.close(context, promise);
        }
    }

    private boolean isBehindResponse() {
        return clock.now() - responseWrittenAt < QUIET_TICKS
                || (decoder.isPartial() && responseWrittenAt >= decoder.messageBegunAt());
    }

    private void linger(ChannelHandlerContext context, ChannelPromise promise) {
        lingering = true;
        decoder.discardInput();
        // The library may have stopped reading.
        context.channel().config().setAutoRead(true);
        ((DuplexChannel) context.channel()).shutdownOutput();
        boolean partial = decoder.isPartial();
        long quietTicks = partial ? PARTIAL_QUIET_TICKS : QUIET_TICKS;
        long deadline = clock.now() + (partial ? PARTIAL_MAX_LINGER_TICKS : MAX_LINGER_TICKS);
        closeOnceQuiet(context, promise, quietTicks, deadline);
    }

    private void closeOnceQuiet(ChannelHandlerContext context, ChannelPromise promise, long quietTicks, long deadline) {
        // Behind a stall what has come is read first.
        Runnable check = () -> lag.runWhenCaughtUp(() -> {
            if (clock.now() < deadline && clock.now() - decoder.lastReadAt() < quietTicks) {
                closeOnceQuiet(context, promise, quietTicks, deadline);
            } else {
                context.close(promise);
            }
        });
        context.executor().schedule(check, quietTicks / TICKS_PER_MILLISECOND, TimeUnit.MILLISECONDS);
    }
}
