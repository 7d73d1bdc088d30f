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

/**
 * Controls the preloaded library of {@code system-call-shim.c}, which makes system calls of a process fail. The control
 * file is mapped by both sides.
 */
public final class SystemCallShim {
    /** The values in the control file, in the order of the C enumeration. Rates are in failing calls per thousand. */
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

    /** Error numbers of Linux, which are the same on all common architectures. */
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

    /** The rate at which each call fails. */
    public static final int ALL_CALLS = 1_000;
    /** The rate at which only the next call fails. */
    public static final int NEXT_CALL = -1;

    private final MappedByteBuffer control;
    private final Path file;
    private final Path library;

    /**
     * Creates the control file of one process.
     *
     * @param library the library that {@link #compile} returned
     */
    public SystemCallShim(Path library, Path file, long seed) throws IOException {
        this.library = library;
        this.file = Files.write(file, new byte[Field.values().length * Long.BYTES]);
        try (RandomAccessFile opened = new RandomAccessFile(file.toFile(), "rw")) {
            control = opened.getChannel().map(FileChannel.MapMode.READ_WRITE, 0, opened.length());
        }
        control.order(ByteOrder.nativeOrder());
        set(Field.SEED, seed);
    }

    /** Compiles the library into this folder with the C compiler {@code cc}. */
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

    /** The environment variables with which a process loads the library and maps the control file. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "SHIM_CONTROL", file.toString());
    }

    /** Sets a value, which applies from the next call on. */
    @SuppressWarnings("EnumOrdinal") // The C code refers to the fields by position.
    public void set(Field field, long value) {
        control.putLong(field.ordinal() * Long.BYTES, value);
    }

    /** Reads a value, such as the number of failed calls. */
    @SuppressWarnings("EnumOrdinal")
    public long get(Field field) {
        return control.getLong(field.ordinal() * Long.BYTES);
    }

    /**
     * Makes calls fail from now on.
     *
     * @param thousandths the rate of failing calls; {@link #NEXT_CALL} for the next call alone, 0 for none
     */
    public void fail(Field errno, Field rate, Errno error, int thousandths) {
        set(errno, error.number);
        set(rate, thousandths);
    }
}
