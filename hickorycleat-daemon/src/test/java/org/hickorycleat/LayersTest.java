package org.hickorycleat;

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
}
