package trestlegrade.lab.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import trestlegrade.lab.ProgramFiles;
import trestlegrade.lab.ReservedPorts;

/** A sidecar of the soak test: processes of the built program, one at a time, under one name and on one port. */
final class SidecarProcess implements AutoCloseable {
    private static final long MAX_START_DURATION = TimeUnit.SECONDS.toNanos(30);
    /** Clients go on opening connections for this long after SIGTERM. */
    private static final long ACCEPTS_AFTER_TERM = TimeUnit.MILLISECONDS.toNanos(400);

    private static final int HEALTH_POLL_MILLISECONDS = 20;
    private static final int HEALTH_TIMEOUT_MILLISECONDS = 1_000;

    private final String name;
    private final int index;
    private final Path folder;
    private final Path program;
    private final EventRecorder recorder;
    private final FakeDiscovery discovery;
    private final FaultProxy[] proxies;
    private final int sidecarCount;
    private final long seed;
    private final int port;
    private final SystemCallShim shim;
    private Process process;
    /** Whether the current process was sent SIGTERM or SIGKILL. */
    private AtomicBoolean stopRequested = new AtomicBoolean();
    /** Its parity selects the proxy of discovery and the limit in the configuration. */
    private int reloads;

    private volatile boolean acceptsClients;
    private volatile long acceptsClientsUntil = Long.MAX_VALUE;
    private volatile long pausedUntil = Long.MIN_VALUE;

    SidecarProcess(
            int index,
            int sidecarCount,
            long seed,
            Path folder,
            Path program,
            Path shimLibrary,
            EventRecorder recorder,
            FakeDiscovery discovery)
            throws IOException {
        this.index = index;
        this.name = "n" + index;
        this.folder = Files.createDirectories(folder.resolve(name));
        this.program = program;
        this.recorder = recorder;
        this.discovery = discovery;
        this.sidecarCount = sidecarCount;
        this.seed = seed + index;
        proxies = new FaultProxy[] {discovery.openProxy(name), discovery.openProxy(name)};
        port = ReservedPorts.next();
        shim = new SystemCallShim(shimLibrary, this.folder.resolve("shim-control"), seed + index);
    }

    String name() {
        return name;
    }

    int port() {
        return port;
    }

    SystemCallShim shim() {
        return shim;
    }

    /** Whether clients may connect: the process became healthy, and was sent no SIGTERM or SIGKILL over 0.4 s ago. */
    boolean acceptsClients() {
        return acceptsClients && System.nanoTime() < acceptsClientsUntil;
    }

    /** Starts a process and waits until it is healthy, or records that it never became so. */
    synchronized void start() throws IOException, InterruptedException {
        AtomicBoolean requested = new AtomicBoolean();
        stopRequested = requested;
        acceptsClientsUntil = Long.MAX_VALUE;
        writeConfiguration();
        ProcessBuilder builder = new ProcessBuilder(ProgramFiles.serveCommand())
                .directory(program.toFile())
                .redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        builder.environment().put("LB_CONFIG", folder.resolve("config.json").toString());
        builder.environment().putAll(shim.environment());
        process = builder.start();
        recorder.add(new Event.ProcessStarted(System.nanoTime(), name));
        Process started = process;
        started.onExit().thenAccept(ended -> {
            acceptsClients = false;
            recorder.add(new Event.ProcessEnded(System.nanoTime(), name, ended.exitValue(), requested.get()));
        });
        long end = System.nanoTime() + MAX_START_DURATION;
        while (!healthy()) {
            if (System.nanoTime() > end || !started.isAlive()) {
                recorder.add(new Event.NeverReady(System.nanoTime(), name));
                return;
            }
            Thread.sleep(HEALTH_POLL_MILLISECONDS);
        }
        acceptsClients = true;
    }

    private void writeConfiguration() throws IOException {
        ObjectNode configuration = SoakSettings.configuration(
                name,
                port,
                proxies[reloads % 2].port(),
                sidecarCount,
                seed,
                SoakSettings.READ_HARD_LIMITS[reloads % 2],
                discovery.list());
        ((ObjectNode) configuration.get("settings")).put("my_number", index);
        Files.writeString(folder.resolve("config.json"), configuration.toString());
    }

    private boolean healthy() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), HEALTH_TIMEOUT_MILLISECONDS);
            socket.setSoTimeout(HEALTH_TIMEOUT_MILLISECONDS);
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            HttpMessage response = new HttpMessage.Reader(socket.getInputStream()).next();
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes the other configuration and sends SIGHUP. */
    void reload() throws IOException, InterruptedException {
        reloads++;
        writeConfiguration();
        signal("HUP");
    }

    /** Sends a signal to the process; does nothing if it has ended. */
    void signal(String signal) throws IOException, InterruptedException {
        if (process.isAlive()) {
            if (signal.equals("TERM") || signal.equals("KILL")) {
                stopRequested.set(true);
                acceptsClientsUntil = System.nanoTime() + ACCEPTS_AFTER_TERM;
            }
            recorder.add(new Event.SignalSent(System.nanoTime(), name, signal));
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** The end of the latest pause. */
    long pausedUntil() {
        return pausedUntil;
    }

    /** Records a pause until this time, in nanoseconds of the monotonic clock. */
    void pausedUntil(long end) {
        pausedUntil = end;
    }

    /** Waits this long for the end of the process, then kills it. */
    void endWithin(long milliseconds) throws IOException, InterruptedException {
        if (!process.waitFor(Math.max(0, milliseconds), TimeUnit.MILLISECONDS)) {
            signal("KILL");
            process.waitFor();
        }
    }

    @Override
    public void close() {
        stopRequested.set(true);
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
