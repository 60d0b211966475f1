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
    /** Guards against dependencies of the logic on adapters and of the model on the logic. */
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

    /** Guards against scheduling logic in the platform adapter. */
    @ArchTest
    static final ArchRule PLATFORM_ADAPTER_CONTAINS_NO_LOGIC =
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

    /**
     * Guards against dependencies on the platform's wire protocol outside the adapter and the
     * process roles.
     */
    @ArchTest
    static final ArchRule ONLY_ROLES_DEPEND_ON_PLATFORM_ADAPTER =
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
