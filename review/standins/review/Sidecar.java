package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One sidecar process, started with the command {@code run} of the deploy file. */
final class Sidecar implements AutoCloseable {
    private static final double READY_MILLIS = 30_000;
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 30_000;

    final int port;
    private final Path root;
    private final Path folder;
    private final Path configuration;
    private Process process;

    /** The folder is for the configuration and the log. */
    Sidecar(Path root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        configuration = folder.resolve("sidecar.json");
        port = freePort();
    }

    /** Returns a free port below those that the system gives to other sockets, so that it stays free. */
    private static int freePort() throws IOException {
        while (true) {
            int candidate = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket free = new ServerSocket(candidate, 1, InetAddress.getByName("127.0.0.1"))) {
                return free.getLocalPort();
            } catch (BindException e) {
                // In use. Another one is tried.
            }
        }
    }

    /** Puts a configuration file in place, by a rename. */
    void configure(String json) throws IOException {
        Path next = folder.resolve("sidecar.json.next");
        Files.writeString(next, json);
        Files.move(next, configuration, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the process and waits until its health check succeeds. */
    void start() throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).directory(root.toFile());
        builder.environment().put("LB_CONFIG", configuration.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        process = builder.start();
        // Also ends the process if this program is ended.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        double end = Record.now() + READY_MILLIS;
        while (!isHealthy()) {
            if (!process.isAlive() || Record.now() > end) {
                throw new IOException("the sidecar did not become ready, see " + folder.resolve("log"));
            }
            Thread.sleep(50);
        }
    }

    private String runCommand() throws IOException {
        String deployFile = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deployFile);
        if (!run.find()) {
            throw new IOException("the deploy file has no command run");
        }
        return run.group(1);
    }

    private boolean isHealthy() {
        try (Socket socket = connect()) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            Http.Message got = Http.read(new BufferedInputStream(socket.getInputStream()));
            return got != null && got.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns the exit status of the process, which must have ended. */
    int status() {
        return process.exitValue();
    }

    /** Returns the last line that the process wrote. */
    String lastLogLine() throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve("log"));
        return lines.get(lines.size() - 1);
    }

    /** Sends a signal to the process, which is the program itself because the command ends in an exec. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
