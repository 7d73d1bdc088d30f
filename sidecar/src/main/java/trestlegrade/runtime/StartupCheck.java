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
import trestlegrade.config.SidecarConfig;
import trestlegrade.config.SidecarConfigReader;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;

/**
 * Starts a sidecar with a built-in configuration on a free loopback port, waits until it is ready, sends some requests,
 * reloads it and drains it. The build runs it to record the classes that a sidecar loads from its start to its end.
 */
public final class StartupCheck {
    private static final long TIMEOUT_SECONDS = 20;
    private static final int RELOADED_MAX_ATTEMPTS = 2;

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
     * Runs the check.
     *
     * @return the number of warm-up transactions before the sidecar was ready
     * @throws IOException if there is no free port, or the sidecar does not respond
     * @throws TimeoutException if the sidecar is not ready or not drained in time
     */
    public static int run() throws IOException, TimeoutException {
        int port = freePort();
        try (StartupTraffic traffic = new StartupTraffic()) {
            JsonObject configJson = new JsonObject(CONFIG).put("listen", "127.0.0.1:" + port);
            configJson.getJsonObject("known").put("endpoints", traffic.entries());
            Counters counters = new Counters(new AsyncLog());
            Sidecar sidecar = new Sidecar(SidecarConfigReader.of(configJson, Map.of()), counters);
            Vertx vertx = sidecar.createVertx();
            Context context = vertx.getOrCreateContext();
            int transactions = Future.<Integer>future(ready -> context.runOnContext(
                            v -> sidecar.start(vertx, context).onComplete(ready)))
                    .await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            traffic.sendRequests(port);
            reloadAndDrain(sidecar, context, configJson);
            counters.report().encode();
            return transactions;
        }
    }

    private static void reloadAndDrain(Sidecar sidecar, Context context, JsonObject configJson)
            throws TimeoutException {
        configJson.getJsonObject("settings").getJsonObject("ceilings").put("max_hops", RELOADED_MAX_ATTEMPTS);
        SidecarConfig reloadedConfig = SidecarConfigReader.of(configJson, Map.of());
        Future.<Void>future(drained -> context.runOnContext(v -> {
                    sidecar.reload(reloadedConfig);
                    sidecar.drain(drained::tryComplete);
                }))
                .await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns a free loopback port, which is no longer bound here, so that the sidecar can bind it. */
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
