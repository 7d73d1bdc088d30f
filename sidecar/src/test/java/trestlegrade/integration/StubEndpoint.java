package trestlegrade.integration;

import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.header;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** An endpoint that runs transactions, and may send more than its answers. */
final class StubEndpoint extends StubServer {
    /**
     * By trace id: nanoseconds from before its answer was written until its stray one had been, so it came no later
     * behind the answer than that; the largest value while it is being written.
     */
    final Map<String, Long> duplicateDelayNanos = new ConcurrentHashMap<>();

    /** Sent right behind each answer in a write of its own, or the end of the connection. */
    volatile String trailingData = HANG;

    /** Milliseconds behind each answer after which it is sent once more; 0 for never. */
    volatile int duplicateAfterMillis;

    StubEndpoint(Function<String, String> responder) {
        super(responder, 0);
    }

    @Override
    boolean reply(Socket socket, String request, String response) throws IOException {
        long answered = System.nanoTime();
        write(socket, response);
        if (trailingData != null) {
            write(socket, trailingData);
        }
        if (duplicateAfterMillis > 0) {
            String trace = header(request, "X-Trace-Id");
            inBackground(() -> {
                pause(duplicateAfterMillis);
                // On a machine that is late itself it would come at any time.
                if (System.nanoTime() - answered > 2_000_000L * duplicateAfterMillis) {
                    return;
                }
                duplicateDelayNanos.put(trace, Long.MAX_VALUE);
                write(socket, response);
                duplicateDelayNanos.put(trace, System.nanoTime() - answered);
            });
        }
        return trailingData != null && !response.endsWith("half") && !response.contains("Connection: close");
    }
}
