package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * The built program in a process of its own, and all that it meets over loopback sockets: clients, endpoints and
 * discovery, whose words and moments the tests choose.
 */
@Timeout(60)
@Execution(ExecutionMode.CONCURRENT)
public abstract class Loopback {
    static final String HANG = "";
    static final String CLOSE = null;

    @TempDir
    Path dir;

    final List<AutoCloseable> opened = new ArrayList<>();
    public final Stub discovery = new Stub(r -> HANG);
    public final List<Stub> endpoints = new ArrayList<>();
    public Process process;
    public int port;

    @AfterEach
    public void end() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        discovery.close();
        for (AutoCloseable each : opened) {
            each.close();
        }
    }

    // -------------------------------------------------- the program under test

    public JsonArray known;
    ProcessBuilder.Redirect output;
    public int sockets = 1024;
    public JsonObject settings;
    boolean verbose;
    /** Whether the system holds the process to {@code sockets}, as the operators do. */
    boolean descriptorsBounded;
    /** Further variables of the process. */
    final Map<String, String> environment = new HashMap<>();

    public void serve() throws Exception {
        start();
        within(10_000, () -> health() == 200);
    }

    public void start() throws Exception {
        start(configuration().encode());
    }

    public void start(String file) throws Exception {
        process = start(file, dir.resolve("config.json"), dir.resolve("log"));
    }

    public Process start(String file, Path config, Path log) throws Exception {
        Files.writeString(config, file);
        List<String> command = new ArrayList<>();
        if (descriptorsBounded) {
            command.addAll(List.of("sh", "-c", "ulimit -n " + sockets + " && exec \"$@\"", "sh"));
        }
        command.addAll(List.of(
                "java",
                "-XX:SharedArchiveFile=sidecar/target/trestlegrade.jsa",
                "@deploy/jvm.options",
                "-jar",
                "sidecar/target/trestlegrade.jar",
                "serve"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output == null ? ProcessBuilder.Redirect.to(log.toFile()) : output);
        if (verbose) {
            builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load");
        }
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().putAll(environment);
        return builder.start();
    }

    JsonObject configuration() throws IOException {
        port = freePort();
        if (known == null) {
            known = new JsonArray();
            for (int i = 0; i < endpoints.size(); i++) {
                known.add(entry(i, "active"));
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
                        new JsonObject().put("index", 7).put("snapshot", true).put("endpoints", known))
                .put("settings", settings());
    }

    public JsonObject settings() {
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
    void patient() {
        settings()
                .put(
                        "profiles",
                        new JsonArray(settings()
                                .getJsonArray("profiles")
                                .encode()
                                .replaceAll("\"(hard_limit|service_goal)\":\\d+", "\"$1\":40000")));
    }

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

    public static String list(int version, boolean whole, JsonObject... entries) {
        return new JsonObject()
                .put("index", version)
                .put("snapshot", whole)
                .put("endpoints", new JsonArray(List.of(entries)))
                .encode();
    }

    public Stub endpoint(Function<String, String> answers) {
        Stub stub = new Stub(answers);
        endpoints.add(stub);
        opened.add(stub);
        return stub;
    }

    public Client client() throws IOException {
        Client client = new Client(port);
        opened.add(client);
        return client;
    }

    int health() {
        return health(port);
    }

    static int health(int port) {
        try (Client client = new Client(port)) {
            return Integer.parseInt(
                    client.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").substring(9, 12));
        } catch (IOException e) {
            return 0;
        }
    }

    JsonObject counters() {
        try (Client client = new Client(port)) {
            String got = client.ask("GET /_counters HTTP/1.1\r\nHost: h\r\n\r\n");
            return new JsonObject(got.substring(got.indexOf("\r\n\r\n")));
        } catch (IOException e) {
            return new JsonObject();
        }
    }

    public static String transaction(String profile, String trace, int wait) {
        return (profile.equals("quote") ? "GET" : "POST") + " /" + profile + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: "
                + trace + "\r\nX-Qos: " + profile + "\r\nX-Expires-In: " + wait + "m\r\n"
                + (profile.equals("quote") ? "\r\n" : "Content-Length: 2\r\n\r\nok");
    }

    public static String answer(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String header(String message, String name) {
        for (String line : message.substring(0, message.indexOf("\r\n\r\n")).split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return null;
    }

    /** Where how soon is not the point: a machine busy with other work takes what it takes. */
    public static void eventually(BooleanSupplier condition) {
        within(20_000, condition);
    }

    public static void within(long milliseconds, BooleanSupplier condition) {
        Stopwatch watch = new Stopwatch();
        while (!condition.getAsBoolean()) {
            assertTrue(watch.milliseconds() < milliseconds, "not within " + milliseconds + " ms");
            pause(10);
        }
    }

    boolean endsWithin(long milliseconds) {
        within(milliseconds, () -> !process.isAlive());
        return true;
    }

    // Under the ports that the system hands out: tests that run beside this one cannot take it meanwhile.
    static final AtomicInteger PORTS =
            new AtomicInteger(20_000 + (int) (ProcessHandle.current().pid() % 10_000));

    static int freePort() {
        while (true) {
            try (ServerSocket free = new ServerSocket(PORTS.incrementAndGet(), 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException e) {
                // Taken by somebody else: the next one.
            }
        }
    }

    public static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One message with its body by its Content-Length, as text of one byte a character; empty at the end. */
    static String message(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int c;
        while (text.indexOf("\r\n\r\n", text.length() - 4) < 0 && (c = in.read()) >= 0) {
            text.append((char) c);
        }
        if (text.indexOf("\r\n\r\n") >= 0) {
            String length = header(text.toString(), "Content-Length");
            text.append(new String(
                    in.readNBytes(length == null ? 0 : Integer.parseInt(length)), StandardCharsets.ISO_8859_1));
        }
        return text.toString();
    }

    static final class Client implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(10_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        public String ask(String text) throws IOException {
            write(text);
            return read();
        }

        String tries(String text) {
            try {
                return ask(text);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        public String read() throws IOException {
            return message(in);
        }

        /** Closes, or resets what is still on its way. */
        public void leave(boolean reset) throws IOException {
            if (reset) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Holds back whoever comes to it until it is opened. */
    static final class Gate {
        private final CountDownLatch open = new CountDownLatch(1);

        public void pass() {
            try {
                assertTrue(open.await(30, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        public void open() {
            open.countDown();
        }
    }

    /**
     * A server whose answers the test gives: a whole message, nothing, or the end of the connection. Its system may
     * hold back what it writes behind an answer until that is acknowledged (no TCP_NODELAY).
     */
    static final class Stub implements AutoCloseable {
        public final List<String> seen = new CopyOnWriteArrayList<>();
        public final List<Socket> ended = new CopyOnWriteArrayList<>();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final ServerSocket listener;
        public volatile Function<String, String> answers;
        /** Sent right behind each answer in a write of its own, or the end of the connection. */
        volatile String afterwards = HANG;

        public final AtomicInteger connections = new AtomicInteger();
        /** Milliseconds behind each answer after which it is sent once more; 0 for never. */
        volatile int straysAfter;
        /**
         * By trace id: nanoseconds from before its answer was written until its stray one had been, so it came no later
         * behind the answer than that; the largest value while it is being written.
         */
        final Map<String, Long> strayed = new ConcurrentHashMap<>();

        /** Enough for the connects of all clients of a test at once. */
        private static final int BACKLOG = 1_024;

        Stub(Function<String, String> answers) {
            this(answers, 0);
        }

        Stub(Function<String, String> answers, int port) {
            this.answers = answers;
            try {
                listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            inBackground(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    connections.incrementAndGet();
                    sockets.add(socket);
                    inBackground(() -> converse(socket));
                }
            });
        }

        private void converse(Socket socket) throws IOException {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (String got = message(in); !got.isEmpty(); got = message(in)) {
                    seen.add(got);
                    String answer = answers.apply(got);
                    if (HANG.equals(answer) && got.startsWith("GET /catalog/members?")) {
                        inBackground(() -> beat(socket));
                    }
                    if (answer == null) {
                        return;
                    }
                    long answered = System.nanoTime();
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    if (afterwards != null) {
                        socket.getOutputStream().write(afterwards.getBytes(StandardCharsets.ISO_8859_1));
                    }
                    if (straysAfter > 0) {
                        String trace = header(got, "X-Trace-Id");
                        inBackground(() -> {
                            pause(straysAfter);
                            // On a machine that is late itself it would come at any time.
                            if (System.nanoTime() - answered > 2_000_000L * straysAfter) {
                                return;
                            }
                            strayed.put(trace, Long.MAX_VALUE);
                            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                            strayed.put(trace, System.nanoTime() - answered);
                        });
                    }
                    if (afterwards == null || answer.endsWith("half") || answer.contains("Connection: close")) {
                        return;
                    }
                }
            } finally {
                ended.add(socket);
            }
        }

        boolean saw(String trace) {
            return seen.stream().anyMatch(s -> trace.equals(header(s, "X-Trace-Id")));
        }

        /** One line to the latest watch. */
        public void line(String text) throws IOException {
            write(sockets.size() - 1, text + "\n");
        }

        /** A part of what a watch brings, in a chunk of its own; its head goes before the first. */
        synchronized void write(int watch, String text) throws IOException {
            Socket socket = sockets.get(watch);
            String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
            socket.getOutputStream()
                    .write(((begun.add(socket) ? head : "") + chunk).getBytes(StandardCharsets.ISO_8859_1));
        }

        private final Set<Socket> begun = new HashSet<>();

        /** Whether a watch brings an empty line at regular times, as discovery's do while nothing changes. */
        volatile boolean beats = true;

        private void beat(Socket watch) throws IOException {
            while (true) {
                if (beats) {
                    write(sockets.indexOf(watch), "\n");
                }
                pause(BEAT_MS);
            }
        }

        private static final long BEAT_MS = 500;

        /** Bytes as they are, on the connection that came last. */
        public void send(String text) throws IOException {
            send(sockets.size() - 1, text);
        }

        public void send(int connection, String text) throws IOException {
            sockets.get(connection).getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Ends a connection, at once with all that is on its way or with a reset behind it. */
        public void end(int connection, boolean reset) throws IOException {
            sockets.get(connection).setSoLinger(reset, 0);
            sockets.get(connection).close();
        }

        void dropAll() throws IOException {
            for (Socket each : sockets) {
                each.close();
            }
        }

        public int port() {
            return listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            dropAll();
        }

        private interface Work {
            void run() throws IOException;
        }

        private static void inBackground(Work work) {
            Thread thread = new Thread(() -> {
                try {
                    work.run();
                } catch (IOException e) {
                    // The other side or the test's end closed the socket.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    // -------------------------------------------------- signals and the log

    /** Threads stop one by one after the signal: what is written before the last has may still be read. */
    public boolean stopped() {
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            return tasks.allMatch(task -> state(task) == 'T');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static char state(Path task) {
        try {
            String stat = Files.readString(task.resolve("stat"));
            return stat.charAt(stat.lastIndexOf(')') + 2);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    public String log() {
        try {
            return Files.readString(dir.resolve("log"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
