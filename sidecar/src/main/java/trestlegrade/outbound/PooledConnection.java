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
import trestlegrade.memory.HeadMemory;

/** A connection to an endpoint, which serves one attempt at a time and reads its response. */
final class PooledConnection implements ResponseReader.Listener {

    /** Is notified of the response to the attempt on a connection. */
    interface Listener {
        /** The head and the body of the response are complete. */
        void responseCompleted(OutboundAttempt attempt);

        /** The attempt may have run, and its connection must be closed. */
        void responseFailed(OutboundAttempt attempt, ConnectionEndReason reason);

        /** A part of the response has arrived. */
        void responsePartReceived(OutboundAttempt attempt);
    }

    /** The option applies only to the data that has arrived when it is set, so it is set again after each response. */
    private static final ChannelOption<Boolean> QUICK_ACK = NioChannelOption.of(ExtendedSocketOptions.TCP_QUICKACK);

    final Endpoint endpoint;
    /** When the connection was requested. */
    final long requestedTicks;
    /** When the connection was established. */
    final long openedTicks;

    private final NetSocketInternal socket;
    private final Listener listener;
    private Runnable excessBytesHandler = () -> {};
    private Buffer body;
    /** The memory of the head of the response to the attempt in flight; 0 until it has arrived. */
    private long headBytes;
    /** When the connection last became idle. */
    long idleSinceTicks;
    /**
     * Whether the connection may be used: it has served no attempt, or no excess bytes were found when the event loop
     * read the socket some time after the last response.
     */
    boolean quarantinePassed;

    int quarantines;
    int attemptsServed;
    /** The attempt in flight on the connection, or null. */
    OutboundAttempt attempt;
    /** Why this side ended the connection. Null while it is open, and if the endpoint closed it. */
    ConnectionEndReason endReason;

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

    /** Writes an attempt. The future completes when the last byte is written. */
    Future<Void> write(OutboundAttempt next, long now) {
        attempt = next;
        headBytes = 0;
        attemptsServed++;
        return socket.writeMessage(HeaderRules.attemptMessage(next.request, next.request.metadata.deadline() - now));
    }

    /**
     * Makes the operating system acknowledge immediately what was read. Returns false if the system does not support
     * this.
     *
     * <p>By default the system delays the acknowledgement for 40 ms or more, and until then an endpoint without
     * TCP_NODELAY holds back what it writes after a response. A second response would then arrive only once the next
     * attempt's bytes acknowledge the first one, and it would be taken for the response to that attempt.
     */
    boolean acknowledgeImmediately() {
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
        headBytes = HeadMemory.withCopy("", head.headers());
        if (!attempt.responseMemory.resizeHead(headBytes)) {
            listener.responseFailed(attempt, ConnectionEndReason.NO_MEMORY);
        } else if (HeaderRules.contentLength(head.headers().get("Content-Length")) > InboundHttpServer.MAX_BODY_BYTES) {
            listener.responseFailed(attempt, ConnectionEndReason.OVERSIZED);
        }
    }

    private void readContent(HttpContent content) {
        int length = body.length() + content.content().readableBytes();
        if (length > InboundHttpServer.MAX_BODY_BYTES) {
            listener.responseFailed(attempt, ConnectionEndReason.OVERSIZED);
            return;
        }
        if (!attempt.responseMemory.growBody(length)) {
            listener.responseFailed(attempt, ConnectionEndReason.NO_MEMORY);
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
        return attempt != null && attempt.responseBody == null && !attempt.ended && endReason == null;
    }

    @Override
    public boolean responseHasNoBody() {
        return attempt != null && attempt.request.head.method().equals("HEAD");
    }

    @Override
    public void excessBytes() {
        if (endReason == null) {
            close(ConnectionEndReason.EXCESS_BYTES);
            excessBytesHandler.run();
        }
    }

    @Override
    public void malformedResponse() {
        listener.responseFailed(attempt, ConnectionEndReason.MALFORMED);
    }

    @Override
    public boolean mayHold(long incompleteBytes) {
        return attempt.responseMemory.resizeHead(headBytes + incompleteBytes);
    }

    @Override
    public void noMemory() {
        listener.responseFailed(attempt, ConnectionEndReason.NO_MEMORY);
    }

    @Override
    public void incompleteResponse() {
        listener.responsePartReceived(attempt);
    }

    /** Sets the handler of bytes that belong to no attempt and arrive before this side has closed the connection. */
    void onExcessBytes(Runnable handler) {
        excessBytesHandler = handler;
    }

    void onClosed(Runnable handler) {
        socket.closeHandler(v -> handler.run());
    }

    /** Closes the connection for the given reason, if this side has not closed it before. */
    void close(ConnectionEndReason reason) {
        if (endReason == null) {
            endReason = reason;
            socket.close();
        }
    }
}
