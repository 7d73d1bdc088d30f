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

/** The built program under one name: one process after the other on the same port. */
final class SidecarProcess implements AutoCloseable {
    private static final long READY_WITHIN = TimeUnit.SECONDS.toNanos(30);
    /** Behind SIGTERM new connections go on coming for so long. */
    private static final long CONNECTS_AFTER_TERM = TimeUnit.MILLISECONDS.toNanos(400);

    private static final int ASK_AGAIN_MILLISECONDS = 20;
    private static final int HEALTH_TIMEOUT_MILLISECONDS = 1_000;

    private final String name;
    private final int index;
    private final Path folder;
    private final Path program;
    private final EventRecorder recorder;
    private final StandInDiscovery discovery;
    private final FaultProxy[] relays;
    private final int sidecars;
    private final long seed;
    private final int port;
    private final SystemCallShim shim;
    private Process process;
    /** Whether the process of now has been told to end, or killed. */
    private AtomicBoolean asked = new AtomicBoolean();
    /** Which relay and limit the settings name. */
    private int settings;

    private volatile boolean open;
    private volatile long openUntil = Long.MAX_VALUE;
    private volatile long pausedUntil = Long.MIN_VALUE;

    SidecarProcess(
            int index,
            int sidecars,
            long seed,
            Path folder,
            Path program,
            Path shimLibrary,
            EventRecorder recorder,
            StandInDiscovery discovery)
            throws IOException {
        this.index = index;
        this.name = "n" + index;
        this.folder = Files.createDirectories(folder.resolve(name));
        this.program = program;
        this.recorder = recorder;
        this.discovery = discovery;
        this.sidecars = sidecars;
        this.seed = seed + index;
        relays = new FaultProxy[] {discovery.relay(name), discovery.relay(name)};
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

    /** Whether clients may connect: it has been healthy since its start, and has not been told to end a while ago. */
    boolean open() {
        return open && System.nanoTime() < openUntil;
    }

    /** Starts the process and waits until it is healthy, or records that it never was. */
    synchronized void start() throws IOException, InterruptedException {
        AtomicBoolean toldToEnd = new AtomicBoolean();
        asked = toldToEnd;
        openUntil = Long.MAX_VALUE;
        writeSettings();
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
            open = false;
            recorder.add(new Event.ProcessEnded(System.nanoTime(), name, ended.exitValue(), toldToEnd.get()));
        });
        long end = System.nanoTime() + READY_WITHIN;
        while (!healthy()) {
            if (System.nanoTime() > end || !started.isAlive()) {
                recorder.add(new Event.NeverReady(System.nanoTime(), name));
                return;
            }
            Thread.sleep(ASK_AGAIN_MILLISECONDS);
        }
        open = true;
    }

    private void writeSettings() throws IOException {
        ObjectNode file = SoakSettings.file(
                name,
                port,
                relays[settings % 2].port(),
                sidecars,
                seed,
                SoakSettings.READ_LIMITS[settings % 2],
                discovery.list());
        ((ObjectNode) file.get("settings")).put("my_number", index);
        Files.writeString(folder.resolve("config.json"), file.toString());
    }

    private boolean healthy() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), HEALTH_TIMEOUT_MILLISECONDS);
            socket.setSoTimeout(HEALTH_TIMEOUT_MILLISECONDS);
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            HttpMessage answer = new HttpMessage.Reader(socket.getInputStream()).next();
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** SIGHUP with the other settings. */
    void reload() throws IOException, InterruptedException {
        settings++;
        writeSettings();
        signal("HUP");
    }

    /** By the process's own id; nothing if it has ended. */
    void signal(String signal) throws IOException, InterruptedException {
        if (process.isAlive()) {
            if (signal.equals("TERM") || signal.equals("KILL")) {
                asked.set(true);
                openUntil = System.nanoTime() + CONNECTS_AFTER_TERM;
            }
            recorder.add(new Event.SignalSent(System.nanoTime(), name, signal));
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** When the latest pause ends. */
    long pausedUntil() {
        return pausedUntil;
    }

    /** Notes a pause until this time, in nanoseconds of the monotonic clock. */
    void pausedUntil(long end) {
        pausedUntil = end;
    }

    /** Waits for its end for so long, and kills it then. */
    void endWithin(long milliseconds) throws IOException, InterruptedException {
        if (!process.waitFor(Math.max(0, milliseconds), TimeUnit.MILLISECONDS)) {
            signal("KILL");
            process.waitFor();
        }
    }

    @Override
    public void close() {
        asked.set(true);
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
