package org.hickorycleat;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.hickorycleat", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {
    /** Guards against decisions that depend on adapters, and a model that depends on decisions. */
    @ArchTest
    static final ArchRule DEPENDENCIES_POINT_INWARD =
            layeredArchitecture()
                    .consideringOnlyDependenciesInLayers()
                    .withOptionalLayers(true)
                    .layer("daemon")
                    .definedBy("org.hickorycleat.daemon..")
                    .layer("logic")
                    .definedBy("org.hickorycleat.logic..")
                    .layer("model")
                    .definedBy("org.hickorycleat.model..")
                    .whereLayer("daemon")
                    .mayNotBeAccessedByAnyLayer()
                    .whereLayer("logic")
                    .mayOnlyBeAccessedByLayers("daemon");

    /** Guards against decisions in the adapter to the users' platform. */
    @ArchTest
    static final ArchRule PLATFORM_TRANSLATES_ONLY =
            classes()
                    .that()
                    .resideInAPackage("org.hickorycleat.platform..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            "org.hickorycleat.platform..",
                            "org.hickorycleat.model..",
                            "org.hickorycleat.logic.port..",
                            "com.fasterxml.jackson..",
                            "io.reactivex..",
                            "org.jspecify..",
                            "java..");

    /** Guards against names of the platform's wire outside of its adapter. */
    @ArchTest
    static final ArchRule ONLY_ROLES_KNOW_THE_PLATFORM =
            noClasses()
                    .that()
                    .resideOutsideOfPackages(
                            "org.hickorycleat.platform..",
                            "org.hickorycleat.daemon",
                            "org.hickorycleat.daemon.fleet..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.hickorycleat.platform..");
}
