package trestlegrade.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * Reserves loopback ports for programs to be started, each for one process on this machine at a time. A port belongs to
 * the process that holds the lock on its file, and is released when that process ends. It is not enough to check that
 * nothing listens on a port, because a port stays free until the started program listens on it.
 */
public final class ReservedPorts {
    /** The range is below the ephemeral ports, which the system assigns itself. */
    private static final int FIRST_PORT = 10_000;

    private static final int PORT_COUNT = 20_000;
    /** Processes with consecutive process ids start their searches this many ports apart. */
    private static final int PID_STRIDE = 211;

    private static final ReservedPorts INSTANCE =
            new ReservedPorts(Path.of(System.getProperty("java.io.tmpdir"), "trestlegrade-ports"), (int)
                    (ProcessHandle.current().pid() * PID_STRIDE % PORT_COUNT));

    private final Path folder;
    private int offset;
    /** Kept open, because closing a file releases its lock. */
    private final List<FileChannel> lockFiles = new ArrayList<>();

    /** Keeps the lock files in the folder and starts to search at this offset from the first port. */
    ReservedPorts(Path folder, int offset) {
        this.folder = folder;
        this.offset = offset;
    }

    /**
     * Reserves a port on which nothing listens, until the end of this process.
     *
     * @throws IOException if no port is free, or a lock file cannot be written
     */
    public static int next() throws IOException {
        return INSTANCE.reserve();
    }

    /** Reserves a port as {@link #next} does. */
    synchronized int reserve() throws IOException {
        Files.createDirectories(folder);
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + offset;
            offset = (offset + 1) % PORT_COUNT;
            if (lock(port) && isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }

    private boolean lock(int port) throws IOException {
        FileChannel file = FileChannel.open(
                folder.resolve(Integer.toString(port)), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (file.tryLock() == null) {
            file.close();
            return false;
        }
        lockFiles.add(file);
        return true;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
