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
 * Closes a connection after a response, without resetting it. Closing a socket with unread bytes resets the connection,
 * and the client loses the part of the response that it has not read. Therefore a close, whether by this program or by
 * the library, shuts down only the output at first. Further input is read and discarded until the client closes its
 * side or sends nothing more.
 */
final class LingeringClose extends ChannelDuplexHandler {
    private static final long TICKS_PER_MILLI = 10;
    /**
     * The time without input after which a lingering connection is closed. Data that a client has already sent arrives
     * within a few milliseconds, and the descriptor is held for at least this long.
     */
    private static final long QUIET_TICKS = 1_000;

    private static final long MAX_LINGER_TICKS = 10_000;
    /** A client that gets a response in the middle of its request continues to send it, possibly slowly. */
    private static final long PARTIAL_QUIET_TICKS = 10_000;

    private static final long PARTIAL_MAX_LINGER_TICKS = 30_000;

    private final StrictRequestDecoder decoder;
    private final MonotonicClock clock;
    private final EventLoopLag lag;
    private boolean writingFinalResponse;
    private long responseWrittenAt = Long.MIN_VALUE / 2;
    private boolean lingering;
    private ChannelHandlerContext context;

    LingeringClose(StrictRequestDecoder decoder, MonotonicClock clock, EventLoopLag lag) {
        this.decoder = decoder;
        this.clock = clock;
        this.lag = lag;
    }

    /** Whether this side has closed the connection after a response and waits for the client to close it. */
    boolean isLingering() {
        return lingering;
    }

    /** Closes the connection immediately; data that is not yet read or written is lost. */
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
            writingFinalResponse = head.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        }
        ChannelPromise written = promise;
        if (writingFinalResponse && part instanceof LastHttpContent) {
            written = promise.unvoid();
            written.addListener(done -> responseWrittenAt = clock.now());
        }
        super.write(context, part, written);
    }

    /**
     * Lingers after a response, and closes an idle connection immediately. Both the library and this program may close
     * the same connection.
     */
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
        if (lingering) {
            context.channel().closeFuture().addListener(closed -> promise.trySuccess());
        } else if (followsResponse() && context.channel().isActive()) {
            linger(context, promise);
        } else {
            super.close(context, promise);
        }
    }

    private boolean followsResponse() {
        return clock.now() - responseWrittenAt < QUIET_TICKS
                || (decoder.isPartial() && responseWrittenAt >= decoder.messageStartedAt());
    }

    private void linger(ChannelHandlerContext context, ChannelPromise promise) {
        lingering = true;
        decoder.discardInput();
        // The library may have disabled reading.
        context.channel().config().setAutoRead(true);
        ((DuplexChannel) context.channel()).shutdownOutput();
        boolean partial = decoder.isPartial();
        long quietTicks = partial ? PARTIAL_QUIET_TICKS : QUIET_TICKS;
        long deadline = clock.now() + (partial ? PARTIAL_MAX_LINGER_TICKS : MAX_LINGER_TICKS);
        closeOnceQuiet(context, promise, quietTicks, deadline);
    }

    private void closeOnceQuiet(ChannelHandlerContext context, ChannelPromise promise, long quietTicks, long deadline) {
        // After an event loop stall, data that has arrived is read first.
        Runnable check = () -> lag.runWhenCaughtUp(() -> {
            if (clock.now() < deadline && clock.now() - decoder.lastReadAt() < quietTicks) {
                closeOnceQuiet(context, promise, quietTicks, deadline);
            } else {
                context.close(promise);
            }
        });
        context.executor().schedule(check, quietTicks / TICKS_PER_MILLI, TimeUnit.MILLISECONDS);
    }
}
