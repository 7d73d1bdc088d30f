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

/** {@code lab soak}: plays one seed after the other, and tells of each breach. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Plays drawn faults against real processes of the built program, on loopback alone.")
public final class SoakCommand implements Callable<Integer> {
    private static final int SHORTEST_SECONDS = 8;
    /** Of one run. */
    private static final int PRINTED_BREACHES = 10;

    private static final int SHRINKING_PLAYS = 24;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", required = true, description = "The first seed.")
    private long seed;

    @Option(
            names = "--runs",
            defaultValue = "1",
            description = "How many seeds from there on (default ${DEFAULT-VALUE}).")
    private int runs;

    @Option(
            names = "--seconds",
            defaultValue = "25",
            description = "How long faults and clients go on (default ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--processes", defaultValue = "3", description = "Sidecars (default ${DEFAULT-VALUE}).")
    private int processes;

    @Option(names = "--servers", defaultValue = "6", description = "Servers (default ${DEFAULT-VALUE}).")
    private int servers;

    @Option(
            names = "--program",
            defaultValue = ".",
            description = "The root of a project that was built (default here).")
    private Path program;

    @Option(names = "--shrink", description = "Look for fewer faults that break the first rule broken.")
    private boolean shrink;

    @Override
    public Integer call() throws IOException, InterruptedException {
        check();
        System.out.println("seed processes faults requests attempts served breaches machine_late_ms");
        int breaches = 0;
        for (long each = seed; each < seed + runs; each++) {
            FaultPlan plan = FaultPlan.draw(each, seconds * 1_000, processes, servers);
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
                    result.machineLateMilliseconds());
            result.violations().stream().limit(PRINTED_BREACHES).forEach(System.out::println);
            breaches += result.violations().size();
            if (shrink && !result.violations().isEmpty()) {
                FaultPlan smallest = new Shrinker(
                                program.toAbsolutePath(),
                                result.violations().get(0).rule(),
                                SHRINKING_PLAYS)
                        .shrink(plan);
                System.out.println("smallest: " + smallest.faults());
            }
        }
        return breaches == 0 ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }

    private void check() {
        require(runs >= 1, "--runs must be 1 at least");
        require(seconds >= SHORTEST_SECONDS, "--seconds must be " + SHORTEST_SECONDS + " at least");
        require(processes >= 1, "--processes must be 1 at least");
        require(servers >= 1, "--servers must be 1 at least");
        ProgramFiles.missing(program)
                .ifPresent(file -> require(false, "--program: cannot read " + file + "; build the project first"));
    }

    private void require(boolean holds, String message) {
        if (!holds) {
            throw new ParameterException(spec.commandLine(), message);
        }
    }
}
