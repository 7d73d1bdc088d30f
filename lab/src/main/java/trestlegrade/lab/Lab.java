package trestlegrade.lab;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import trestlegrade.lab.cost.CostCommand;
import trestlegrade.lab.soak.SoakCommand;

/** The command line of the lab. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        version = "trestlegrade lab 0.1.0",
        description = "Soak tests and cost measurements of the built program.",
        subcommands = {SoakCommand.class, CostCommand.class})
public final class Lab implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return CommandLine.ExitCode.USAGE;
    }

    /** Exits with the status of the subcommand: 0 for success, 1 for a failure, 2 for invalid arguments. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }
}
