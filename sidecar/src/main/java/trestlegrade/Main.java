package trestlegrade;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
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

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return CommandLine.ExitCode.USAGE;
    }

    @Command(
            name = "benchlink",
            mixinStandardHelpOptions = true,
            description = "Makes the decisions for the sidecars of a bench, on standard input and output.")
    int benchlink() {
        try {
            new SimulatorAdapter(
                            new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                            new FileOutputStream(FileDescriptor.out))
                    .run();
            return CommandLine.ExitCode.OK;
        } catch (MalformedFrameException e) {
            System.err.println("benchlink: malformed input: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("benchlink: input or output failed: " + e.getMessage());
        }
        return CommandLine.ExitCode.SOFTWARE;
    }

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Serves as one sidecar, as the file that LB_CONFIG names says, until SIGTERM.")
    public int serve() {
        SidecarProcess.serve(System.getenv());
        return CommandLine.ExitCode.SOFTWARE;
    }

    @Command(
            name = "rehearse",
            mixinStandardHelpOptions = true,
            description = "Starts a sidecar on a free port of loopback until it is ready: does it work here?")
    public int rehearse() {
        try {
            System.out.println("rehearse: ready after " + StartupCheck.run() + " transactions");
            return CommandLine.ExitCode.OK;
        } catch (Exception e) {
            System.err.println("rehearse: " + e);
            return CommandLine.ExitCode.SOFTWARE;
        }
    }

    public static void main(String[] args) {
        // The record of classes leaves picocli's out, which are of an old format: to load them was half of what a
        // sidecar did before its first own line, and after a release a hundred start at once.
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(new Main().serve());
        }
        System.exit(new CommandLine(new Main()).execute(args));
    }
}
