package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import trestlegrade.lab.ProgramFiles;
import trestlegrade.lab.ReservedPorts;

/**
 * The built program in a process of its own, and all that it meets over loopback sockets: clients, endpoints and
 * discovery. Tests choose what these send, and when.
 */
@Timeout(60)
@Execution(ExecutionMode.CONCURRENT)
abstract class SidecarFixture {
    /** Holds the configuration and the log of the process. */
    @TempDir
    Path dir;

    /** Closed at the end of the test. */
    final List<AutoCloseable> closeables = new ArrayList<>();

    final StubDiscovery discovery = new StubDiscovery(r -> HANG);
    final List<StubEndpoint> endpoints = new ArrayList<>();

    /** The program under test; null until it is started. */
    Process process;

    /** Where the program listens; chosen as its configuration is made. */
    int port;

    /** The entries of the list with which it starts; null for all endpoints of the test. */
    JsonArray initialEndpoints;

    /** Where it writes its log; null for the file in {@link #dir}. */
    ProcessBuilder.Redirect logOutput;

    /** The limit on sockets in its configuration. */
    int sockets = 1024;

    /** Whether the system holds the process to {@link #sockets}, as the operators do. */
    boolean limitDescriptors;

    /** Whether the log names each class that is loaded. */
    boolean logClassLoading;

    /** Put before the command line of the program; it has to end in that process. */
    List<String> launcher = List.of();

    /** Further variables of the process. */
    final Map<String, String> environment = new HashMap<>();

    private JsonObject settings;

    @AfterEach
    void tearDown() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        discovery.close();
        for (AutoCloseable each : closeables) {
            each.close();
        }
    }

    /** Starts the program with the configuration of this test, and waits until it is healthy. */
    void startAndAwaitHealthy() throws Exception {
        start();
        within(10_000, () -> health() == 200);
    }

    /** As {@link #startAndAwaitHealthy}, without the wait. */
    void start() throws Exception {
        start(configuration().encode());
    }

    /** Starts the program with the text of a configuration file. */
    void start(String file) throws Exception {
        process = start(file, dir.resolve("config.json"), dir.resolve("log"));
    }

    /** Starts a process of which the test takes care itself. */
    Process start(String file, Path config, Path log) throws Exception {
        Files.writeString(config, file);
        List<String> command = new ArrayList<>();
        if (limitDescriptors) {
            command.addAll(List.of("sh", "-c", "ulimit -n " + sockets + " && exec \"$@\"", "sh"));
        }
        command.addAll(launcher);
        command.addAll(ProgramFiles.serveCommand());
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(logOutput == null ? ProcessBuilder.Redirect.to(log.toFile()) : logOutput);
        if (logClassLoading) {
            builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load");
        }
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().putAll(environment);
        return builder.start();
    }

    /** A new configuration file: it listens on a port of its own. */
    JsonObject configuration() throws IOException {
        port = ReservedPorts.next();
        if (initialEndpoints == null) {
            initialEndpoints = new JsonArray();
            for (int i = 0; i < endpoints.size(); i++) {
                initialEndpoints.add(entry(i, "active"));
            }
        }
        return new JsonObject()
                .put("name", "n1")
                .put("listen", "127.0.0.1:" + port)
                .put("discovery", "127.0.0.1:" + discovery.port())
                .put("seed", "8c1f30d27a5be964")
                .put(
                        "limits",
                        new JsonObject().put("cores", 1.0).put("memory_mb", 192).put("sockets", sockets))
                .put(
                        "known",
                        new JsonObject().put("index", 7).put("snapshot", true).put("endpoints", initialEndpoints))
                .put("settings", settings());
    }

    /** The settings of the configuration, which a test may change before the start. */
    JsonObject settings() {
        if (settings == null) {
            settings = new JsonObject("""
                {"azs":["a","b"],"flavors":["m1"],"membership_mode":"on_request","n_instances":3,"weights":"off",
                 "ceilings":{"cancelling":true,"dial_timeout":250.0,"keepalive":10000.0,"max_hops":3,
                             "retry_after":true,"max_retry_after":2000.0},
                 "profiles":[{"name":"quote","effect":"repeatable","service_goal":500,"hard_limit":1500,"revenue":2},
                             {"name":"post-charge","effect":"once","service_goal":600,"hard_limit":3000,"revenue":9}],
                 "safety":{"ask_within":10000,"cold_from":0.3,"cold":9000,"fall_multiple":3,"fall":2000}}""");
        }
        return settings;
    }

    /** Goals and limits of 40 s: nothing is rolled back or over because the machine is slow. */
    void useLongTimeouts() {
        settings()
                .put(
                        "profiles",
                        new JsonArray(settings()
                                .getJsonArray("profiles")
                                .encode()
                                .replaceAll("\"(hard_limit|service_goal)\":\\d+", "\"$1\":40000")));
    }

    /** An entry of the list for one of the endpoints. */
    JsonObject entry(int endpoint, String status) {
        return new JsonObject()
                .put("name", "s-" + endpoint)
                .put("address", "127.0.0.1:" + endpoints.get(endpoint).port())
                .put("zone", "a")
                .put("type", "m1")
                .put("group", 0)
                .put("status", status)
                .put("weight", 1.0)
                .put("since_ms", 0);
    }

    /** A line of the list: all of it, or a change. */
    static String listLine(int version, boolean whole, JsonObject... entries) {
        return new JsonObject()
                .put("index", version)
                .put("snapshot", whole)
                .put("endpoints", new JsonArray(List.of(entries)))
                .encode();
    }

    /** A new endpoint, which the list at the start has unless the test says otherwise. */
    StubEndpoint endpoint(Function<String, String> answers) {
        StubEndpoint stub = new StubEndpoint(answers);
        endpoints.add(stub);
        closeables.add(stub);
        return stub;
    }

    /** A new connection of a client. */
    TestClient client() throws IOException {
        TestClient client = new TestClient(port);
        closeables.add(client);
        return client;
    }

    /** The status of a health check; 0 if there was no answer. */
    int health() {
        return health(port);
    }

    static int health(int port) {
        try (TestClient client = new TestClient(port)) {
            return Integer.parseInt(
                    client.exchange("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").substring(9, 12));
        } catch (IOException e) {
            return 0;
        }
    }

    /** What the program has counted; empty if there was no answer. */
    JsonObject counters() {
        try (TestClient client = new TestClient(port)) {
            String got = client.exchange("GET /_counters HTTP/1.1\r\nHost: h\r\n\r\n");
            return new JsonObject(got.substring(got.indexOf("\r\n\r\n")));
        } catch (IOException e) {
            return new JsonObject();
        }
    }

    /** Fails unless the process ends in time; returns true, for the sake of assertions. */
    boolean exitsWithin(long milliseconds) {
        within(milliseconds, () -> !process.isAlive());
        return true;
    }

    /** Threads stop one by one after the signal: what is written before the last has may still be read. */
    boolean allThreadsStopped() {
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            return tasks.allMatch(task -> state(task) == 'T');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The state of a thread as in /proc. */
    static char state(Path task) {
        try {
            String stat = Files.readString(task.resolve("stat"));
            return stat.charAt(stat.lastIndexOf(')') + 2);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a signal to the program. */
    void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** What the program has logged so far. */
    String log() {
        try {
            return Files.readString(dir.resolve("log"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
