package trestlegrade.lab.cost;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import trestlegrade.lab.ProgramFiles;
import trestlegrade.lab.ReservedPorts;

/** One process of the built program, and its use of the machine as the kernel reports it in /proc. */
final class MeasuredSidecar {
    private static final long READY_WITHIN_SECONDS = 30;
    private static final long HEALTH_POLL_MILLIS = 5;
    private static final double MILLIS_PER_CLOCK_TICK = 10.0;
    /** The index of the processor time in user mode, among the fields of /proc/PID/stat after the program name. */
    private static final int STAT_USER_TIME = 11;

    /** As {@link #STAT_USER_TIME}, for the processor time in kernel mode. */
    private static final int STAT_SYSTEM_TIME = 12;

    private static final String CONFIGURATION = """
                {"name":"cost","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"7","limits":{"sockets":1024},
                 "known":{"index":0,"snapshot":true,"endpoints":[]},
                 "settings":{"azs":["z0","z1","z2"],"flavors":["m"],"membership_mode":"on_request","n_instances":1,
                  "weights":"nominal","ceilings":{"cancelling":true,"dial_timeout":250,"keepalive":10000,"max_hops":3,
                   "max_retry_after":2000,"retry_after":true},
                  "profiles":[{"name":"read","effect":"repeatable","service_goal":300,"hard_limit":1000,"revenue":1},
                   {"name":"write","effect":"once","service_goal":500,"hard_limit":1500,"revenue":5}],
                  "tenants":[{"name":"acme","share":1.0}],
                  "safety":{"ask_within":10000,"cold":9000,"cold_from":0.3,"fall":2000,"fall_multiple":3}}}
                """;

    private final Process process;
    private final int port;

    private MeasuredSidecar(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    /**
     * Starts the program under this root; it may not be ready yet when this returns.
     *
     * @throws IOException if its configuration cannot be written or the process cannot be started
     */
    static MeasuredSidecar start(Path root, int discoveryPort) throws IOException {
        int port = ReservedPorts.next();
        Path file = Files.createTempFile("cost", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, CONFIGURATION.formatted(port, discoveryPort));
        ProcessBuilder builder = new ProcessBuilder(ProgramFiles.serveCommand())
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("LB_CONFIG", file.toString());
        return new MeasuredSidecar(builder.start(), port);
    }

    /**
     * Waits until the health check of the sidecar succeeds.
     *
     * @throws IllegalStateException if the process ends, or is not ready within 30 s
     */
    void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_WITHIN_SECONDS);
        while (!healthy()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IllegalStateException("the sidecar was not ready within " + READY_WITHIN_SECONDS + " s");
            }
            Thread.sleep(HEALTH_POLL_MILLIS);
        }
    }

    private boolean healthy() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return LoadClient.exchange(socket, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
                    .startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** The port that clients connect to. */
    int port() {
        return port;
    }

    /** Milliseconds of processor time of all threads since the start, in steps of the kernel's 10 ms. */
    double processorMillis() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return MILLIS_PER_CLOCK_TICK
                * (Long.parseLong(fields[STAT_USER_TIME]) + Long.parseLong(fields[STAT_SYSTEM_TIME]));
    }

    /** The current resident memory. */
    double residentMegabytes() throws IOException {
        return status("VmRSS") / 1024;
    }

    /** The current number of threads. */
    double threads() throws IOException {
        return status("Threads");
    }

    private double status(String field) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith(field + ":"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElseThrow(() -> new IOException("no field " + field + " in /proc/" + process.pid() + "/status"));
    }

    /** Kills the process without waiting for its end; does nothing if it has ended. */
    void kill() {
        process.destroyForcibly();
    }

    /** Kills the process and waits for its end. */
    void end() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
