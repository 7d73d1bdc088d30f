package trestlegrade.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** The test's side of {@code src/test/c/system-call-shim.c}: which system calls of a process fail, and how often. */
final class SystemCallShim {
    /** In the order of the C enumeration; rates are in thousandths of the calls. */
    enum Field {
        SEED,
        ACCEPT_ERRNO, ACCEPT_RATE, ACCEPT_DONE,
        SOCKET_ERRNO, SOCKET_RATE, SOCKET_DONE,
        CONNECT_ERRNO, CONNECT_RATE, CONNECT_DONE,
        TRANSFER_ERRNO, TRANSFER_RATE, TRANSFER_DONE,
        SHORT_RATE, SHORT_DONE,
        INTERRUPT_RATE, INTERRUPT_DONE,
        HOLD_MICROSECONDS, HOLD_RATE, HOLD_DONE,
        WALL_CLOCK_MICROSECONDS
    }

    /** Of Linux on all usual machines. */
    enum Errno {
        ENOMEM(12), ENFILE(23), EMFILE(24), EADDRNOTAVAIL(99), ENETUNREACH(101), ECONNABORTED(103), ENOBUFS(105),
        ETIMEDOUT(110), EHOSTUNREACH(113);

        final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    static final int ALL = 1_000;
    /** Of the calls to come the first alone. */
    static final int NEXT = -1;

    private final MappedByteBuffer control;
    private final Path file;
    private final Path library;

    SystemCallShim(Path folder, long seed) throws IOException, InterruptedException {
        library = folder.resolve("shim.so");
        int compiled = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-Wall", "-Wextra", "-Werror", "-o",
                library.toString(), "src/test/c/system-call-shim.c", "-ldl").inheritIO().start().waitFor();
        assertEquals(0, compiled, "the C compiler");
        file = Files.write(folder.resolve("shim-control"), new byte[Field.values().length * Long.BYTES]);
        try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "rw")) {
            control = open.getChannel().map(FileChannel.MapMode.READ_WRITE, 0, open.length());
        }
        control.order(ByteOrder.nativeOrder());
        set(Field.SEED, seed);
    }

    /** What a process needs to be under its control. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "SHIM_CONTROL", file.toString());
    }

    void set(Field field, long value) {
        control.putLong(field.ordinal() * Long.BYTES, value);
    }

    long get(Field field) {
        return control.getLong(field.ordinal() * Long.BYTES);
    }

    /** From now on such calls fail, so many of a thousand or the next alone; 0 ends it. */
    void fail(Field errno, Field rate, Errno with, int thousandths) {
        set(errno, with.number);
        set(rate, thousandths);
    }
}
