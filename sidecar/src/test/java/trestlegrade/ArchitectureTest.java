package trestlegrade;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks the permitted dependencies between packages (docs/architecture.md). */
@AnalyzeClasses(packages = "trestlegrade", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    /** The policy can run under a simulator's virtual clock only if it uses nothing outside these packages. */
    @ArchTest
    static final ArchRule POLICY_DEPENDS_ONLY_ON_PERMITTED_PACKAGES = classes()
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

    /** The same events must lead to the same decisions, so threads, system clock and unseeded randomness are banned. */
    @ArchTest
    static final ArchRule POLICY_USES_NO_THREADS_SYSTEM_CLOCK_OR_UNSEEDED_RANDOMNESS = noClasses()
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
    static final ArchRule SIMULATOR_ADAPTER_USES_NO_SOCKETS = noClasses()
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
    static final ArchRule CONFIGURATION_USES_NO_SOCKETS = noClasses()
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
    static final ArchRule SIDECAR_DOES_NOT_DEPEND_ON_THE_SIMULATOR = noClasses()
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
    static final ArchRule EVENT_LOOP_AND_MEMORY_DO_NOT_DEPEND_ON_HIGHER_LAYERS = noClasses()
            .that()
            .resideInAnyPackage("trestlegrade.eventloop..", "trestlegrade.memory..")
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
