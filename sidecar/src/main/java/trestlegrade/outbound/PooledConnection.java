package trestlegrade.outbound;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import io.vertx.core.internal.net.NetSocketInternal;
import jdk.net.ExtendedSocketOptions;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.inbound.HeaderRules;
import trestlegrade.inbound.InboundHttpServer;

/** One connection to an endpoint, which carries one attempt at a time and reads its response. */
final class PooledConnection implements ResponseReader.Listener {

    /** Told of the response to the attempt on a connection. */
    interface Listener {
        /** Head and body are complete. */
        void responseCompleted(OutboundAttempt attempt);

        /** The attempt may have run, and its connection is of no further use. */
        void responseFailed(OutboundAttempt attempt, ConnectionEnd end);

        /** A part of the response has come. */
        void responsePartReceived(OutboundAttempt attempt);
    }

    /** Holds only for what has come when it is set, so it is set anew behind each response. */
    private static final ChannelOption<Boolean> QUICK_ACK = NioChannelOption.of(ExtendedSocketOptions.TCP_QUICKACK);

    final Endpoint endpoint;
    /** When it was asked for. */
    final long requestedTicks;
    /** When it was open. */
    final long openedTicks;

    private final NetSocketInternal socket;
    private final Listener listener;
    private Runnable onExcessBytes = () -> {};
    private Buffer body;
    /** When its last attempt ended. */
    long idleSinceTicks;
    /** Whether the event loop has looked for excess bytes some time after the last response, and found none. */
    boolean quarantinePassed;

    int quarantines;
    int attemptsCarried;
    /** The attempt in flight on it, or null. */
    OutboundAttempt attempt;
    /** Why this side ended it; null while it is open, and if the endpoint closed it. */
    ConnectionEnd end;

    boolean closed;

    PooledConnection(
            Endpoint endpoint, NetSocketInternal socket, long requestedTicks, long openedTicks, Listener listener) {
        this.endpoint = endpoint;
        this.socket = socket;
        this.requestedTicks = requestedTicks;
        this.openedTicks = openedTicks;
        this.listener = listener;
        socket.channelHandlerContext()
                .pipeline()
                .addBefore("handler", "answers", new ResponseReader(this))
                .addBefore("handler", "attempts", new HttpRequestEncoder());
        socket.messageHandler(this::read);
        socket.exceptionHandler(e -> {});
    }

    /** Writes an attempt; the future completes with its last byte. */
    Future<Void> write(OutboundAttempt next, long now) {
        attempt = next;
        attemptsCarried++;
        return socket.writeMessage(HeaderRules.attemptMessage(next.request, next.request.metadata.deadline() - now));
    }

    /**
     * Has the system acknowledge at once what was read; false if it cannot.
     *
     * <p>Otherwise it delays that for 40 ms or more, and an endpoint without TCP_NODELAY holds back until then what it
     * writes behind a response: a second response would come with the next attempt's bytes and be taken for the
     * response to that.
     */
    boolean acknowledgeAtOnce() {
        Channel channel = socket.channelHandlerContext().channel();
        try {
            return channel.config().setOption(QUICK_ACK, true);
        } catch (ChannelException e) {
            return !channel.isOpen();
        }
    }

    private void read(Object part) {
        try {
            if (!awaitsResponse() || ((HttpObject) part).decoderResult().isFailure()) {
                return;
            }
            if (part instanceof HttpResponse head) {
                readHead(head);
            } else if (part instanceof HttpContent content) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void readHead(HttpResponse head) {
        attempt.responseHead = head;
        body = Buffer.buffer();
        if (HeaderRules.contentLength(head.headers().get("Content-Length")) > InboundHttpServer.MAX_BODY_BYTES) {
            listener.responseFailed(attempt, ConnectionEnd.OVERSIZED);
        }
    }

    private void readContent(HttpContent content) {
        int length = body.length() + content.content().readableBytes();
        if (length > InboundHttpServer.MAX_BODY_BYTES) {
            listener.responseFailed(attempt, ConnectionEnd.OVERSIZED);
            return;
        }
        if (!attempt.responseMemory.grow(length)) {
            listener.responseFailed(attempt, ConnectionEnd.NO_MEMORY);
            return;
        }
        body.appendBuffer(BufferInternal.buffer(content.content()));
        if (content instanceof LastHttpContent) {
            attempt.responseBody = body;
            body = null;
            listener.responseCompleted(attempt);
        }
    }

    @Override
    public boolean awaitsResponse() {
        return attempt != null && attempt.responseBody == null && !attempt.ended && end == null;
    }

    @Override
    public boolean responseHasNoBody() {
        return attempt != null && attempt.request.head.method().equals("HEAD");
    }

    @Override
    public void excessBytes() {
        if (end == null) {
            close(ConnectionEnd.EXCESS_BYTES);
            onExcessBytes.run();
        }
    }

    @Override
    public void malformedResponse() {
        listener.responseFailed(attempt, ConnectionEnd.MALFORMED);
    }

    @Override
    public void incompleteResponse() {
        listener.responsePartReceived(attempt);
    }

    /** Bytes came that belong to no attempt, while neither side had closed it. */
    void whenExcessBytes(Runnable then) {
        onExcessBytes = then;
    }

    void whenClosed(Runnable then) {
        socket.closeHandler(v -> then.run());
    }

    /** Closes it for the reason given, if this side has not closed it before. */
    void close(ConnectionEnd reason) {
        if (end == null) {
            end = reason;
            socket.close();
        }
    }
}
