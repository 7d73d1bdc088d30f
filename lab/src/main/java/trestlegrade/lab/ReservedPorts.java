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
 * Ports of loopback for programs that are started, each for one process on this machine at a time: a port belongs to
 * the process that holds the lock on its file, and is free again when that process ends. A look alone doesn't tell,
 * since a port is free until the program that was started listens on it.
 */
public final class ReservedPorts {
    /** Under the ports that the system hands out by itself. */
    private static final int FIRST = 10_000;

    private static final int COUNT = 20_000;
    /** Processes that start one after the other look in places far apart. */
    private static final int APART = 211;

    private static final ReservedPorts OF_THIS_PROCESS =
            new ReservedPorts(Path.of(System.getProperty("java.io.tmpdir"), "trestlegrade-ports"), (int)
                    (ProcessHandle.current().pid() * APART % COUNT));

    private final Path folder;
    private int offset;
    /** Kept open: the locks end with them. */
    private final List<FileChannel> locked = new ArrayList<>();

    /** Has its locks in the folder and begins to look so far behind the first port. */
    ReservedPorts(Path folder, int offset) {
        this.folder = folder;
        this.offset = offset;
    }

    /**
     * A port on which nothing listens, for this process until its end.
     *
     * @throws IOException if there is none, or its file cannot be written
     */
    public static int next() throws IOException {
        return OF_THIS_PROCESS.reserve();
    }

    /** As {@link #next}. */
    synchronized int reserve() throws IOException {
        Files.createDirectories(folder);
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + offset;
            offset = (offset + 1) % COUNT;
            if (lock(port) && isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST + " on");
    }

    private boolean lock(int port) throws IOException {
        FileChannel file = FileChannel.open(
                folder.resolve(Integer.toString(port)), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (file.tryLock() == null) {
            file.close();
            return false;
        }
        locked.add(file);
        return true;
    }

    private static boolean isFree(int port) {
        try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return free.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
