package trestlegrade;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import trestlegrade.runtime.ReloadSignal;
import trestlegrade.runtime.SidecarProcess;
import trestlegrade.runtime.StartupCheck;
import trestlegrade.simulator.MalformedFrameException;
import trestlegrade.simulator.SimulatorAdapter;

/** The command line. */
@Command(
        name = "trestlegrade",
        mixinStandardHelpOptions = true,
        version = "trestlegrade 0.1.0",
        description = "A load balancer of which every client process has its own copy.")
public final class Main implements Callable<Integer> {
    private static final int SIMULATOR_BUFFER_BYTES = 64 << 10;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return CommandLine.ExitCode.USAGE;
    }

    /** Makes the decisions for the sidecars of a simulator, on standard input and output. */
    @Command(
            name = "simulator",
            mixinStandardHelpOptions = true,
            description = "Makes the decisions for the sidecars of a simulator, on standard input and output.")
    int simulator() {
        return runSimulator("simulator");
    }

    /** The former name of {@link #simulator}. */
    @Command(
            name = "benchlink",
            hidden = true,
            mixinStandardHelpOptions = true,
            description = "The former name of simulator.")
    int benchlink() {
        return runSimulator("benchlink");
    }

    private static int runSimulator(String command) {
        try {
            new SimulatorAdapter(
                            new BufferedInputStream(new FileInputStream(FileDescriptor.in), SIMULATOR_BUFFER_BYTES),
                            new FileOutputStream(FileDescriptor.out))
                    .run();
            return CommandLine.ExitCode.OK;
        } catch (MalformedFrameException e) {
            System.err.println(command + ": malformed input: " + e.getMessage());
        } catch (IOException e) {
            System.err.println(command + ": input or output failed: " + e.getMessage());
        }
        return CommandLine.ExitCode.SOFTWARE;
    }

    /** Serves as one sidecar; SIGTERM ends the program from inside, so this returns only if it could not start. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Serves as one sidecar, as the file that LB_CONFIG names says, until SIGTERM.")
    public int serve() {
        return serve(ReloadSignal.install());
    }

    private static int serve(ReloadSignal reloadSignal) {
        SidecarProcess.serve(System.getenv(), reloadSignal);
        return CommandLine.ExitCode.SOFTWARE;
    }

    /** Starts a sidecar on a free port of loopback until it is ready. */
    @Command(
            name = "warmup",
            mixinStandardHelpOptions = true,
            description = "Starts a sidecar on a free port of loopback until it is ready: does it work here?")
    public int warmUp() {
        return checkStartup("warmup");
    }

    /** The former name of {@link #warmUp}. */
    @Command(
            name = "rehearse",
            hidden = true,
            mixinStandardHelpOptions = true,
            description = "The former name of warmup.")
    public int rehearse() {
        return checkStartup("rehearse");
    }

    private static int checkStartup(String command) {
        // The class data archive is made by this command, and holds what it uses.
        ReloadSignal.install();
        try {
            System.out.println(command + ": ready after " + StartupCheck.run() + " transactions");
            return CommandLine.ExitCode.OK;
        } catch (Exception e) {
            System.err.println(command + ": " + e);
            return CommandLine.ExitCode.SOFTWARE;
        }
    }

    /** Runs the command that the arguments name, and exits with its status. */
    public static void main(String[] args) {
        // The JVM's class data archive cannot hold picocli, whose class files are of an old format. Loading it costs as
        // much as the rest of the start, and after a release many sidecars start at once.
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(serve(ReloadSignal.install()));
        }
        System.exit(new CommandLine(new Main()).execute(args));
    }
}
