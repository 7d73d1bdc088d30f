package trestlegrade.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
import trestlegrade.runtime.EventLoopLag;
import trestlegrade.runtime.MonotonicClock;

/**
 * Vert.x's reader of transactions, but one that gives two lengths is none. Netty drops the Content-Length and follows
 * the chunks; who reads it the other way finds a second transaction in the body of the first.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    /** What still comes is read, so that the connection's end is seen, and dropped. */
    boolean deaf;

    private final MonotonicClock clock;
    private PipeliningGate gate;
    LingeringClose linger;
    /** When the first and the latest bytes of a message came that is not whole yet. */
    private long begun;

    private long heard;
    private boolean partial;
    private final long opened;
    private final long queued;

    private StrictRequestDecoder(HttpServerOptions options, MonotonicClock clock, long queued) {
        super(options);
        this.clock = clock;
        this.queued = queued;
        opened = clock.now();
    }

    /** Takes the place of the usual one, before anything has been read. */
    public static StrictRequestDecoder on(
            HttpConnection connection,
            HttpServerOptions options,
            MonotonicClock clock,
            EventLoopLag lateness,
            PipeliningGate.Held held,
            Runnable tooFar) {
        Channel channel =
                ((HttpServerConnection) connection).channelHandlerContext().channel();
        ChannelPipeline pipeline = channel.pipeline();
        long queued = channel instanceof InterruptibleSocketChannel own ? own.queuedNanoseconds() / NANOSECONDS : 0;
        if (queued > 0) {
            // It may have come while the process stood still, before the listener saw that somebody waits.
            queued += lateness.stalledAt(clock.now() - queued);
        }
        StrictRequestDecoder decoder = new StrictRequestDecoder(options, clock, queued);
        pipeline.replace("httpDecoder", "httpDecoder", decoder);
        decoder.gate = new PipeliningGate(decoder, clock, held, tooFar);
        decoder.linger = new LingeringClose(decoder, clock, lateness);
        pipeline.addBefore("handler", "gate", decoder.gate);
        pipeline.addBefore("handler", "linger", decoder.linger);
        return decoder;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        heard = clock.now();
        if (deaf) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        if (!partial) {
            partial = true;
            begun = heard;
        }
        int before = out.size();
        super.decode(context, bytes, out);
        for (int i = before; i < out.size(); i++) {
            partial &= !(out.get(i) instanceof LastHttpContent);
        }
    }

    /** Whether a message has begun that is not whole: its client has lately sent, and may be sending. */
    boolean partial() {
        return partial;
    }

    /** Whether further messages wait for the answer to the one that was let through. */
    public boolean waits() {
        return gate.waits();
    }

    /**
     * How long the message that was let through may have waited before its connection was accepted: nothing, unless it
     * was read right behind that. The bound is that of the connection; what came later is not known to have waited.
     */
    long queued(long late) {
        return cameAt() - opened <= AT_ONCE + 2 * late ? queued : 0;
    }

    // Of a tenth of a millisecond.
    private static final long NANOSECONDS = 100_000;
    // Tenths of a millisecond from the accept to the first read.
    private static final long AT_ONCE = 500;

    /** When the last byte of the message that was let through came. */
    long cameAt() {
        return gate.cameAt();
    }

    public long begun() {
        return begun;
    }

    public long heard() {
        return heard;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
