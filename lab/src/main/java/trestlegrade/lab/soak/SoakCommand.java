package trestlegrade.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import trestlegrade.lab.ProgramFiles;

/** {@code lab soak}: runs one seed after the other and prints each violation. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Injects random faults into processes of the built program, which use loopback only.")
public final class SoakCommand implements Callable<Integer> {
    private static final int MIN_SECONDS = 8;
    /** The violations that are printed of one run. */
    private static final int MAX_PRINTED_VIOLATIONS = 10;

    private static final int MAX_SHRINKING_RUNS = 24;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", required = true, description = "The first seed.")
    private long seed;

    @Option(
            names = "--runs",
            defaultValue = "1",
            description = "Number of runs with consecutive seeds (default ${DEFAULT-VALUE}).")
    private int runs;

    @Option(
            names = "--seconds",
            defaultValue = "25",
            description = "Seconds of load and faults in each run (default ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--processes", defaultValue = "3", description = "Number of sidecars (default ${DEFAULT-VALUE}).")
    private int processes;

    @Option(names = "--servers", defaultValue = "6", description = "Number of servers (default ${DEFAULT-VALUE}).")
    private int servers;

    @Option(
            names = "--program",
            defaultValue = ".",
            description = "Root folder of a built project (default is the current folder).")
    private Path program;

    @Option(names = "--shrink", description = "Search for fewer faults that still violate the first rule violated.")
    private boolean shrink;

    @Override
    public Integer call() throws IOException, InterruptedException {
        check();
        System.out.println("seed processes faults requests attempts served breaches machine_late_ms");
        int violations = 0;
        for (long each = seed; each < seed + runs; each++) {
            FaultPlan plan = FaultPlan.generate(each, seconds * 1_000, processes, servers);
            Soak.Result result = Soak.run(plan, program.toAbsolutePath());
            System.out.printf(
                    "%d %d %d %d %d %d %d %d%n",
                    each,
                    processes,
                    result.faults(),
                    result.requests(),
                    result.attempts(),
                    result.served(),
                    result.violations().size(),
                    result.maxSchedulingDelayMilliseconds());
            result.violations().stream().limit(MAX_PRINTED_VIOLATIONS).forEach(System.out::println);
            violations += result.violations().size();
            if (shrink && !result.violations().isEmpty()) {
                FaultPlan smallest = new Shrinker(
                                program.toAbsolutePath(),
                                result.violations().get(0).rule(),
                                MAX_SHRINKING_RUNS)
                        .shrink(plan);
                System.out.println("smallest: " + smallest.faults());
            }
        }
        return violations == 0 ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }

    private void check() {
        require(runs >= 1, "--runs must be at least 1");
        require(seconds >= MIN_SECONDS, "--seconds must be at least " + MIN_SECONDS);
        require(processes >= 1, "--processes must be at least 1");
        require(servers >= 1, "--servers must be at least 1");
        ProgramFiles.missing(program)
                .ifPresent(file -> require(false, "--program: cannot read " + file + "; build the project first"));
    }

    private void require(boolean condition, String message) {
        if (!condition) {
            throw new ParameterException(spec.commandLine(), message);
        }
    }
}
