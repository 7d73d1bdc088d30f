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

/** Entry point: parses the command line and runs the command that it names. */
@Command(
        name = "trestlegrade",
        mixinStandardHelpOptions = true,
        version = "trestlegrade 0.1.0",
        description = "A client-side load balancer that runs as a sidecar of each client process.")
public final class Main implements Callable<Integer> {
    private static final int SIMULATOR_BUFFER_BYTES = 64 << 10;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return CommandLine.ExitCode.USAGE;
    }

    /** Makes the load balancing decisions for the sidecars of a simulator, over standard input and output. */
    @Command(
            name = "simulator",
            mixinStandardHelpOptions = true,
            description = "Makes the load balancing decisions for the sidecars of a simulator, over standard input"
                    + " and output.")
    int simulator() {
        return runSimulator("simulator");
    }

    /** Former name of {@link #simulator}. */
    @Command(
            name = "benchlink",
            hidden = true,
            mixinStandardHelpOptions = true,
            description = "Former name of simulator.")
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
            System.err.println(command + ": I/O error: " + e.getMessage());
        }
        return CommandLine.ExitCode.SOFTWARE;
    }

    /**
     * Runs one sidecar. The handler of SIGTERM exits the process, so this method returns only if the sidecar could not
     * start.
     */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Runs one sidecar, configured by the file that LB_CONFIG names, until SIGTERM.")
    public int serve() {
        return serve(ReloadSignal.install());
    }

    private static int serve(ReloadSignal reloadSignal) {
        SidecarProcess.serve(System.getenv(), reloadSignal);
        return CommandLine.ExitCode.SOFTWARE;
    }

    /** Starts a sidecar on a free loopback port and waits until it is ready, to check that it works on this host. */
    @Command(
            name = "warmup",
            mixinStandardHelpOptions = true,
            description = "Starts a sidecar on a free loopback port and waits until it is ready, to check that it"
                    + " works on this host.")
    public int warmUp() {
        return checkStartup("warmup");
    }

    /** Former name of {@link #warmUp}. */
    @Command(name = "rehearse", hidden = true, mixinStandardHelpOptions = true, description = "Former name of warmup.")
    public int rehearse() {
        return checkStartup("rehearse");
    }

    private static int checkStartup(String command) {
        // The build records the class data archive while it runs this command, and the archive holds only the classes
        // that the command uses. The signal handler is installed here so that its classes are among them.
        ReloadSignal.install();
        try {
            System.out.println(command + ": ready after " + StartupCheck.run() + " transactions");
            return CommandLine.ExitCode.OK;
        } catch (Exception e) {
            System.err.println(command + ": " + e);
            return CommandLine.ExitCode.SOFTWARE;
        }
    }

    /** Runs the command that the arguments name and exits with its status. */
    public static void main(String[] args) {
        // This command bypasses picocli. The class data archive cannot hold picocli, because its class files have an
        // old format. Loading picocli costs as much as the rest of the start, and after a release many sidecars start
        // at once.
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(serve(ReloadSignal.install()));
        }
        System.exit(new CommandLine(new Main()).execute(args));
    }
}
