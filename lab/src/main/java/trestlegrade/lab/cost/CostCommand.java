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
 * {@code lab cost}: measures the processor time of one sidecar from outside the process (Linux only).
 *
 * <p>This program provides fake endpoints, a fake discovery service and clients on loopback. Each scenario starts a new
 * sidecar. All scenarios together take two and a half minutes and three cores. Each figure is from a single run, so
 * compare versions that were run alternately on one machine, not figures of two machines.
 */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description = "Measures the processor time that one sidecar uses, on loopback only.")
public final class CostCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "FOLDER",
            defaultValue = ".",
            description = "Root folder of a built project, for comparing versions (default is the current folder).")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        ProgramFiles.missing(folder).ifPresent(file -> {
            throw new ParameterException(
                    spec.commandLine(), "cost: cannot read " + file + "; build the project in that folder first");
        });
        new CostMeasurement(folder, new CostTable(System.out)).run();
        return CommandLine.ExitCode.OK;
    }
}
