package trestlegrade.inbound;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;

/** Sends the outcome of one transaction as an HTTP response on its client's connection and releases its trace id. */
final class TransactionResponder implements InboundRequest.Client {
    private static final int COMMITTED = 200;
    private static final int ABANDONED = 502;
    private static final int ROLLED_BACK = 503;
    private static final double TICKS_PER_SECOND = 10_000.0;

    private final ClientConnection connection;
    private final HttpServerResponse response;
    private final String traceId;
    private final OpenTraceIds openTraceIds;
    private final ResponseWriter writer;

    TransactionResponder(
            ClientConnection connection,
            HttpServerResponse response,
            String traceId,
            OpenTraceIds openTraceIds,
            ResponseWriter writer) {
        this.connection = connection;
        this.response = response;
        this.traceId = traceId;
        this.openTraceIds = openTraceIds;
        this.writer = writer;
    }

    @Override
    public boolean isDisconnected() {
        return response.closed();
    }

    @Override
    public Future<Void> committed(MultiMap headers, Buffer body) {
        response.headers().addAll(headers);
        respond(COMMITTED, body);
        return connection.lastWrite();
    }

    @Override
    public void rolledBack(long retryAfterTicks) {
        if (retryAfterTicks > 0) {
            response.putHeader(
                    ProtocolFields.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterTicks / TICKS_PER_SECOND));
        }
        respond(ROLLED_BACK, ResponseWriter.EMPTY_BODY);
    }

    @Override
    public void abandoned() {
        respond(ABANDONED, ResponseWriter.EMPTY_BODY);
    }

    private void respond(int status, Buffer body) {
        openTraceIds.remove(traceId);
        writer.respond(connection, response, status, body);
    }
}
