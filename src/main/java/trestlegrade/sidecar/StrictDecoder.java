package trestlegrade.sidecar;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Vert.x's reader of transactions, but one that gives two lengths is none. Netty drops the Content-Length and
 * follows the chunks; who reads it the other way finds a second transaction in the body of the first.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {

    private StrictDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Takes the place of the usual one, before anything has been read. */
    static void on(HttpConnection connection, HttpServerOptions options) {
        ChannelPipeline pipeline = ((HttpServerConnection) connection).channelHandlerContext().pipeline();
        pipeline.replace("httpDecoder", "httpDecoder", new StrictDecoder(options));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
