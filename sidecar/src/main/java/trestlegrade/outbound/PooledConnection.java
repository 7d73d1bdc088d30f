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

/** One connection to an endpoint, which carries one attempt at a time and reads its answer. */
final class PooledConnection implements ResponseReader.Reader {

    /** Told how the attempt on a connection fares. */
    interface Owner {
        void answered(OutboundAttempt attempt);

        /** It may have run, and its connection is of no further use. */
        void spoilt(OutboundAttempt attempt, String why);

        /** A part of the answer has come. */
        void unfinished(OutboundAttempt attempt);
    }

    public final Endpoint endpoint;
    public final long opened;
    private final NetSocketInternal socket;
    private final Owner owner;
    private Buffer body;
    long idleSince;
    /** Whether the loop has looked for bytes some time after the last answer, and found none. */
    public boolean rested;

    public int rests;
    public int carried;
    public OutboundAttempt attempt;
    /** Why it ends, once this side has decided that; else the endpoint did. */
    public String reason;

    public boolean closed;

    PooledConnection(Endpoint endpoint, NetSocketInternal socket, long opened, Owner owner) {
        this.endpoint = endpoint;
        this.socket = socket;
        this.opened = opened;
        this.owner = owner;
        socket.channelHandlerContext()
                .pipeline()
                .addBefore("handler", "answers", new ResponseReader(this))
                .addBefore("handler", "attempts", new HttpRequestEncoder());
        socket.messageHandler(this::read);
        socket.exceptionHandler(e -> {});
    }

    /** The future is done with its last byte. */
    public Future<Void> write(OutboundAttempt next, long now) {
        attempt = next;
        carried++;
        return socket.writeMessage(HeaderRules.attemptMessage(next.exchange, next.exchange.metadata.deadline() - now));
    }

    /**
     * Has the system acknowledge at once what was read; false if it can't. Where both sides speak in turn it waits with
     * that for 40 ms or more, and an endpoint without TCP_NODELAY has what it writes behind an answer held back until
     * then: a second answer came with the next attempt's bytes, and was taken for the answer to that.
     */
    boolean acknowledge() {
        Channel channel = socket.channelHandlerContext().channel();
        try {
            return channel.config().setOption(AT_ONCE, true);
        } catch (ChannelException e) {
            return !channel.isOpen();
        }
    }

    // Holds for what has come by then, so it is set anew behind each answer.
    private static final ChannelOption<Boolean> AT_ONCE = NioChannelOption.of(ExtendedSocketOptions.TCP_QUICKACK);

    private void read(Object part) {
        try {
            if (!awaits() || ((HttpObject) part).decoderResult().isFailure()) {
                return;
            }
            if (part instanceof HttpResponse head) {
                attempt.head = head;
                body = Buffer.buffer();
                if (HeaderRules.contentLength(head.headers().get("Content-Length"))
                        > InboundHttpServer.MAX_BODY_BYTES) {
                    owner.spoilt(attempt, "oversized");
                }
            } else if (part instanceof HttpContent content) {
                if (body.length() + content.content().readableBytes() > InboundHttpServer.MAX_BODY_BYTES) {
                    owner.spoilt(attempt, "oversized");
                    return;
                }
                if (!attempt.memory.grow(body.length() + content.content().readableBytes())) {
                    owner.spoilt(attempt, "no-memory");
                    return;
                }
                body.appendBuffer(BufferInternal.buffer(content.content()));
                if (part instanceof LastHttpContent) {
                    attempt.answer = body;
                    body = null;
                    owner.answered(attempt);
                }
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    @Override
    public boolean awaits() {
        return attempt != null && attempt.answer == null && !attempt.ended && reason == null;
    }

    @Override
    public boolean bodiless() {
        return attempt != null && attempt.exchange.head.method().equals("HEAD");
    }

    @Override
    public void excess() {
        close("excess");
    }

    @Override
    public void spoilt() {
        owner.spoilt(attempt, "spoilt");
    }

    @Override
    public void unfinished() {
        owner.unfinished(attempt);
    }

    void whenClosed(Runnable then) {
        socket.closeHandler(v -> then.run());
    }

    public void close(String why) {
        if (reason == null) {
            reason = why;
            socket.close();
        }
    }
}
