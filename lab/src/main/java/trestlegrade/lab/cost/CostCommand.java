package trestlegrade.lab.cost;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trestlegrade.lab.ProgramFiles;

/**
 * {@code lab cost}: measures what one sidecar costs in processor time, read from outside the process (Linux only).
 *
 * <p>Endpoints, discovery and clients are stand-ins on loopback in this program; each scenario starts a sidecar of its
 * own. Takes two and a half minutes and three cores. Each figure is from one play on the machine at hand: compare
 * versions played in turn, not figures of two machines.
 */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description = "Measures what one sidecar costs in processor time, on loopback alone.")
public final class CostCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "FOLDER",
            defaultValue = ".",
            description = "The root of a project that was built, so that two versions can be compared (default here).")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        ProgramFiles.missing(folder).ifPresent(file -> {
            throw new ParameterException(
                    spec.commandLine(), "cost: " + file + " cannot be read; build that folder first");
        });
        new CostMeasurement(folder, new CostTable(System.out)).run();
        return CommandLine.ExitCode.OK;
    }
}
