package trestlegrade;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The arrows between packages (docs/architecture.md): which package may use which. */
@AnalyzeClasses(packages = "trestlegrade", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    /** Decisions can be played under a virtual clock only while they reach nothing else. */
    @ArchTest
    static final ArchRule DECISIONS_DEPEND_ON_NOTHING_OF_OURS = classes()
            .that()
            .resideInAPackage("trestlegrade.policy..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "trestlegrade.policy..",
                    "java.lang..",
                    "java.util",
                    "java.util.function",
                    "java.util.stream",
                    "java.util.zip",
                    "com.carrotsearch.hppc..");

    /** No threads, no system clock, no chance but the seeded one: the same events bring the same decisions. */
    @ArchTest
    static final ArchRule DECISIONS_HAVE_NO_THREADS_NO_CLOCK_AND_NO_CHANCE_OF_THEIR_OWN = noClasses()
            .that()
            .resideInAPackage("trestlegrade.policy..")
            .should()
            .dependOnClassesThat()
            .haveNameMatching("java\\.lang\\.(System|Thread|ThreadLocal|Process|ProcessBuilder|Runtime)")
            .orShould()
            .dependOnClassesThat()
            .haveNameMatching("java\\.util\\.(Random|Timer|Date|Calendar|UUID|Scanner)")
            .orShould()
            .callMethod(Math.class, "random");

    @ArchTest
    static final ArchRule THE_SIMULATORS_ADAPTER_HAS_NO_SOCKETS = noClasses()
            .that()
            .resideInAPackage("trestlegrade.simulator..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "trestlegrade.inbound..",
                    "trestlegrade.outbound..",
                    "trestlegrade.discovery..",
                    "trestlegrade.runtime..",
                    "trestlegrade.metrics..",
                    "io.vertx..",
                    "io.netty..",
                    "java.net..");

    @ArchTest
    static final ArchRule THE_CONFIGURATION_KNOWS_NO_SOCKETS = noClasses()
            .that()
            .resideInAPackage("trestlegrade.config..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "trestlegrade.inbound..",
                    "trestlegrade.outbound..",
                    "trestlegrade.discovery..",
                    "trestlegrade.runtime..",
                    "trestlegrade.metrics..",
                    "trestlegrade.simulator..",
                    "io.netty..");

    @ArchTest
    static final ArchRule THE_TWO_SIDES_DO_NOT_KNOW_THE_SIMULATOR = noClasses()
            .that()
            .resideInAnyPackage(
                    "trestlegrade.inbound..",
                    "trestlegrade.outbound..",
                    "trestlegrade.discovery..",
                    "trestlegrade.runtime..",
                    "trestlegrade.metrics..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("trestlegrade.simulator..");

    @ArchTest
    static final ArchRule THE_EVENT_LOOP_KNOWS_NEITHER_SIDE = noClasses()
            .that()
            .resideInAPackage("trestlegrade.eventloop..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "trestlegrade.policy..",
                    "trestlegrade.config..",
                    "trestlegrade.inbound..",
                    "trestlegrade.outbound..",
                    "trestlegrade.discovery..",
                    "trestlegrade.runtime..",
                    "trestlegrade.simulator..");
}
