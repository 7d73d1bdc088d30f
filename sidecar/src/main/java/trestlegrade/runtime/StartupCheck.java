package trestlegrade.runtime;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import trestlegrade.config.SidecarConfigReader;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;

/**
 * Starts a sidecar with a built-in configuration on a free port of loopback, and waits until it is ready. The build
 * runs it to record the classes that a sidecar loads.
 */
public final class StartupCheck {
    private static final long READY_WITHIN_SECONDS = 20;

    private static final String CONFIG = """
            {"name":"rehearsal","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":256},
             "known":{"index":1,"endpoints":[]},
             "settings":{"azs":["a"],"flavors":["m"],"membership_mode":"on_request",
              "ceilings":{"cancelling":true,"max_hops":3,"retry_after":true,"max_retry_after":1000},
              "profiles":[{"name":"read","effect":"repeatable","service_goal":500,"hard_limit":1000},
                          {"name":"write","effect":"once","service_goal":500,"hard_limit":1000}],
              "safety":{"cold_from":0.5,"cold":1000,"fall_multiple":3,"fall":1000}}}""";

    private StartupCheck() {}

    /**
     * Returns how many transactions the sidecar sent to itself before it was ready.
     *
     * @throws IOException if there is no free port
     * @throws TimeoutException if the sidecar is not ready in time
     */
    public static int run() throws IOException, TimeoutException {
        JsonObject file = new JsonObject(CONFIG).put("listen", "127.0.0.1:" + freePort());
        Sidecar sidecar = new Sidecar(SidecarConfigReader.of(file, Map.of()), new Counters(new AsyncLog()));
        Vertx vertx = sidecar.createVertx();
        Context context = vertx.getOrCreateContext();
        return Future.<Integer>future(ready ->
                        context.runOnContext(v -> sidecar.start(vertx, context).onComplete(ready)))
                .await(READY_WITHIN_SECONDS, TimeUnit.SECONDS);
    }

    /** The port is free again when this returns, so that the sidecar can bind it. */
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
