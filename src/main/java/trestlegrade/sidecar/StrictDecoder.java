package trestlegrade.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;

/**
 * Vert.x's reader of transactions, but one that gives two lengths is none. Netty drops the Content-Length and
 * follows the chunks; who reads it the other way finds a second transaction in the body of the first.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
    /** What still comes is read, so that the connection's end is seen, and dropped. */
    boolean deaf;

    private StrictDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Takes the place of the usual one, before anything has been read. */
    static void on(HttpConnection connection, HttpServerOptions options, Turnstile.Held held, Runnable tooFar) {
        ChannelPipeline pipeline = ((HttpServerConnection) connection).channelHandlerContext().pipeline();
        StrictDecoder decoder = new StrictDecoder(options);
        pipeline.replace("httpDecoder", "httpDecoder", decoder);
        pipeline.addBefore("handler", "turnstile", new Turnstile(decoder, held, tooFar));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        if (deaf) {
            bytes.skipBytes(bytes.readableBytes());
        } else {
            super.decode(context, bytes, out);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
