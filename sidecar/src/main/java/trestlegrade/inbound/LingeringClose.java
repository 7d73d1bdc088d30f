package trestlegrade.inbound;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;
import trestlegrade.runtime.EventLoopLag;
import trestlegrade.runtime.MonotonicClock;

/**
 * A client's connection that is closed behind an answer, by this program or by the library, ends on this side only at
 * first. What the client had still sent is read and dropped until it closes its side, or nothing comes any more: to
 * close over bytes that are unread resets the connection, and takes along what the client has not read of the answer.
 */
final class LingeringClose extends ChannelDuplexHandler {
    // Tenths of a millisecond. What a client had on its way comes within a few milliseconds. Clients that keep a
    // connection
    // that has ended hold its descriptor for so long.
    private static final long QUIET = 1_000;
    private static final long LONGEST = 10_000;
    // One that was answered in the midst of its message goes on, perhaps slowly: with 0.1 s from five to eleven of them
    // were cut off on a day on which clients write in pieces.
    private static final long QUIET_PARTIAL = 10_000;
    private static final long LONGEST_PARTIAL = 30_000;

    private final StrictRequestDecoder decoder;
    private final MonotonicClock clock;
    private final EventLoopLag lateness;
    private boolean answering;
    private long answered = Long.MIN_VALUE / 2;
    private boolean lingers;
    private ChannelHandlerContext context;

    LingeringClose(StrictRequestDecoder decoder, MonotonicClock clock, EventLoopLag lateness) {
        this.decoder = decoder;
        this.clock = clock;
        this.lateness = lateness;
    }

    /** Whether this side has ended it behind an answer that is written. */
    boolean lingers() {
        return lingers;
    }

    /** Its descriptor is wanted for another client, or it does not read: what is still to come or to go is given up. */
    void closeNow() {
        context.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        this.context = context;
    }

    @Override
    public void write(ChannelHandlerContext context, Object part, ChannelPromise promise) throws Exception {
        if (part instanceof HttpResponse head) {
            answering = head.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        }
        ChannelPromise told = promise;
        if (answering && part instanceof LastHttpContent) {
            told = promise.unvoid();
            told.addListener(done -> answered = clock.now());
        }
        super.write(context, part, told);
    }

    /** A connection that stands idle is closed at once. The library and this program may both close one. */
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
        if (lingers) {
            context.channel().closeFuture().addListener(closed -> promise.trySuccess());
            return;
        }
        boolean behindAnswer = clock.now() - answered < QUIET || (decoder.partial() && answered >= decoder.begun());
        if (!behindAnswer || !context.channel().isActive()) {
            super.close(context, promise);
            return;
        }
        lingers = true;
        decoder.deaf = true;
        // The library may have stopped reading.
        context.channel().config().setAutoRead(true);
        ((DuplexChannel) context.channel()).shutdownOutput();
        boolean partial = decoder.partial();
        closeOnceQuiet(
                context, promise, partial ? QUIET_PARTIAL : QUIET, clock.now() + (partial ? LONGEST_PARTIAL : LONGEST));
    }

    private void closeOnceQuiet(ChannelHandlerContext context, ChannelPromise promise, long quiet, long latest) {
        // Behind a stall what has come is read first.
        context.executor()
                .schedule(
                        () -> lateness.caughtUp(() -> {
                            if (clock.now() < latest && clock.now() - decoder.heard() < quiet) {
                                closeOnceQuiet(context, promise, quiet, latest);
                            } else {
                                context.close(promise);
                            }
                        }),
                        quiet / 10,
                        TimeUnit.MILLISECONDS);
    }
}
