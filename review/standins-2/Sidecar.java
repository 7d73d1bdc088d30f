import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** The sidecar under test, started by the `run` command of the deploy file from the root of the project. */
final class Sidecar implements AutoCloseable {
    private static final long READY_WITHIN_MILLIS = 30_000;

    final int port;
    private final Path configFile;
    private final int discoveryPort;
    private final String known;
    private final Process process;

    /**
     * Starts a sidecar and waits until it is ready.
     *
     * @param folder for its configuration and its log
     * @param settings the object `settings` of its configuration
     * @param known the entries of the list that it had last
     */
    Sidecar(Path folder, int discoveryPort, String settings, String known) throws Exception {
        port = freePort();
        this.discoveryPort = discoveryPort;
        this.known = known;
        configFile = folder.resolve("config.json");
        writeConfig(settings);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand())
                .directory(new File("."))
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("sidecar.log").toFile());
        builder.environment().put("LB_CONFIG", configFile.toString());
        builder.environment().put("LB_NAME", "n1");
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("LB_DISCOVERY", "127.0.0.1:" + discoveryPort);
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        awaitReady();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IllegalStateException("deploy/balancer.toml has no run command");
    }

    private void writeConfig(String settings) throws IOException {
        String config = """
                {"name":"n1","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"index":7,"snapshot":true,"endpoints":%s},
                 "settings":%s}
                """.formatted(port, discoveryPort, known, settings);
        Path next = configFile.resolveSibling("config.json.next");
        Files.writeString(next, config);
        Files.move(next, configFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_WITHIN_MILLIS);
        while (System.nanoTime() < end && process.isAlive()) {
            try (Client client = new Client(port)) {
                client.write("GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                if (client.read(1_000).status() == 200) {
                    return;
                }
            } catch (IOException | NullPointerException e) {
                // It does not listen yet.
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("the sidecar is not ready");
    }

    /** Replaces the settings and sends SIGHUP. */
    void reload(String settings) throws Exception {
        writeConfig(settings);
        signal("HUP");
    }

    /** Sends a signal to the program, which `run` starts by exec. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns whether the process ends within the time. */
    boolean endsWithin(int millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly().waitFor();
    }
}
