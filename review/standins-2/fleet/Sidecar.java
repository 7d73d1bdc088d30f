import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One sidecar process, started by the run command of the deploy file, with its configuration in a temporary folder. */
final class Sidecar implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final long READY_SECONDS = 30;

    private final Recorder recorder;
    private final Path folder = Files.createTempDirectory("review-sidecar");
    private final Path configuration = folder.resolve("config.json");
    private final int port;
    private final int discoveryPort;
    private final String known;
    private Process process;

    Sidecar(Recorder recorder, int discoveryPort, String known) throws IOException {
        this.recorder = recorder;
        this.discoveryPort = discoveryPort;
        this.known = known;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
    }

    int port() {
        return port;
    }

    /** Replaces the configuration file by a rename. */
    void configure(String settings) throws IOException {
        String text = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + known + ",\"settings\":" + settings + "}";
        Path next = folder.resolve("config.next");
        Files.writeString(next, text, StandardCharsets.UTF_8);
        Files.move(next, configuration, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts the process and waits until it reports itself healthy. */
    void start(Path root) throws IOException, InterruptedException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml"), StandardCharsets.UTF_8));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run command");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
        builder.environment().put("LB_CONFIG", configuration.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true).redirectOutput(log().toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        recorder.add("sidecar: started, process %d", process.pid());
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        while (!isHealthy()) {
            if (!process.isAlive() || System.nanoTime() > deadline) {
                throw new IOException("the sidecar is not ready; its log:\n" + Files.readString(log()));
            }
            Thread.sleep(50);
        }
        recorder.add("sidecar: ready");
    }

    private boolean isHealthy() {
        try {
            return new Connection(port, 1_000).exchange("GET", "/_health", "", "").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitStatus() {
        return process.exitValue();
    }

    private Path log() {
        return folder.resolve("log");
    }

    /** Returns the lines of the sidecar's log that hold the text. */
    String logLines(String text) throws IOException {
        StringBuilder found = new StringBuilder();
        for (String line : Files.readAllLines(log(), StandardCharsets.UTF_8)) {
            if (line.contains(text)) {
                found.append(line, 0, Math.min(line.length(), 200)).append('\n');
            }
        }
        return found.toString();
    }

    /** Sends SIGHUP. */
    void reload() throws IOException, InterruptedException {
        recorder.add("platform: SIGHUP");
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
        for (String name : new String[] {"config.json", "config.next", "log"}) {
            Files.deleteIfExists(folder.resolve(name));
        }
        try {
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            // The process has left a file of its own.
        }
    }
}
