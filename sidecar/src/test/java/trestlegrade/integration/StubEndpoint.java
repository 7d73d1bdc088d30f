package trestlegrade.integration;

import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.HttpText.header;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Endpoint that runs transactions and can send more than their responses. */
final class StubEndpoint extends StubServer {
    /**
     * By trace id: nanoseconds from before the response was written until its duplicate had been written. This is an
     * upper bound of the delay between the two. Long.MAX_VALUE while the duplicate is being written.
     */
    final Map<String, Long> duplicateDelayNanos = new ConcurrentHashMap<>();

    /** Written directly after each response in a separate write; {@link #CLOSE} to close the connection instead. */
    volatile String trailingData = HANG;

    /** Each response is sent a second time after this delay; 0 for never. */
    volatile int duplicateAfterMillis;

    StubEndpoint(Function<String, String> responder) {
        super(responder, 0);
    }

    @Override
    boolean reply(Socket socket, String request, String response) throws IOException {
        long respondedNanos = System.nanoTime();
        write(socket, response);
        if (trailingData != null) {
            write(socket, trailingData);
        }
        if (duplicateAfterMillis > 0) {
            String trace = header(request, "X-Trace-Id");
            runInBackground(() -> {
                pause(duplicateAfterMillis);
                // Skipped if the machine stalled, because the duplicate would then be sent at an arbitrary time.
                if (System.nanoTime() - respondedNanos > 2_000_000L * duplicateAfterMillis) {
                    return;
                }
                duplicateDelayNanos.put(trace, Long.MAX_VALUE);
                write(socket, response);
                duplicateDelayNanos.put(trace, System.nanoTime() - respondedNanos);
            });
        }
        return trailingData != null && !response.endsWith("half") && !response.contains("Connection: close");
    }
}
