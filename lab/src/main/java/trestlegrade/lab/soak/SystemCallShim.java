package trestlegrade.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.RandomAccessFile;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;

/** This side of the library in {@code system-call-shim.c}: which system calls of a process fail, and how often. */
public final class SystemCallShim {
    /** In the order of the C enumeration; rates are in thousandths of the calls. */
    public enum Field {
        SEED,
        ACCEPT_ERRNO,
        ACCEPT_RATE,
        ACCEPT_DONE,
        SOCKET_ERRNO,
        SOCKET_RATE,
        SOCKET_DONE,
        CONNECT_ERRNO,
        CONNECT_RATE,
        CONNECT_DONE,
        TRANSFER_ERRNO,
        TRANSFER_RATE,
        TRANSFER_DONE,
        SHORT_RATE,
        SHORT_DONE,
        INTERRUPT_RATE,
        INTERRUPT_DONE,
        HOLD_MICROSECONDS,
        HOLD_RATE,
        HOLD_DONE,
        WALL_CLOCK_MICROSECONDS
    }

    /** The numbers that they have on all usual machines with Linux. */
    public enum Errno {
        ENOMEM(12),
        ENFILE(23),
        EMFILE(24),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105),
        ETIMEDOUT(110),
        EHOSTUNREACH(113);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    /** A rate: each call. */
    public static final int ALL_CALLS = 1_000;
    /** A rate: of the calls to come the first alone. */
    public static final int NEXT_CALL = -1;

    private final MappedByteBuffer control;
    private final Path file;
    private final Path library;

    /** A control of its own for one process; the library is compiled by {@link #compile}. */
    public SystemCallShim(Path library, Path file, long seed) throws IOException {
        this.library = library;
        this.file = Files.write(file, new byte[Field.values().length * Long.BYTES]);
        try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "rw")) {
            control = open.getChannel().map(FileChannel.MapMode.READ_WRITE, 0, open.length());
        }
        control.order(ByteOrder.nativeOrder());
        set(Field.SEED, seed);
    }

    /** Compiles the library into this folder with the machine's C compiler. */
    public static Path compile(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve("system-call-shim.c");
        try (InputStream in = SystemCallShim.class.getResourceAsStream("/system-call-shim.c")) {
            Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Path library = folder.resolve("system-call-shim.so");
        int status = new ProcessBuilder(
                        "cc",
                        "-shared",
                        "-fPIC",
                        "-O2",
                        "-Wall",
                        "-Wextra",
                        "-Werror",
                        "-o",
                        library.toString(),
                        source.toString(),
                        "-ldl")
                .inheritIO()
                .start()
                .waitFor();
        if (status != 0) {
            throw new IOException("the C compiler ended with status " + status);
        }
        return library;
    }

    /** What a process needs to be under its control. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "SHIM_CONTROL", file.toString());
    }

    /** Sets a value, which holds from the next call on. */
    @SuppressWarnings("EnumOrdinal") // The shim, in C, knows the fields by their place.
    public void set(Field field, long value) {
        control.putLong(field.ordinal() * Long.BYTES, value);
    }

    /** Reads a value, such as how often calls failed. */
    @SuppressWarnings("EnumOrdinal")
    public long get(Field field) {
        return control.getLong(field.ordinal() * Long.BYTES);
    }

    /** From now on such calls fail: so many of a thousand, or the next alone; 0 ends it. */
    public void fail(Field errno, Field rate, Errno with, int thousandths) {
        set(errno, with.number);
        set(rate, thousandths);
    }
}
