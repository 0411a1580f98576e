package org.dunespindle;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Checks that packages depend on one another in one direction only, as described in {@code docs/architecture.md}. */
class ArchitectureTest {
    private static final String ROOT = "org.dunespindle";
    /** The packages from the lowest to the highest layer; each may use those listed before it. */
    private static final List<String> BOTTOM_UP = List.of(
            "transport",
            "protocol",
            "time",
            "storage",
            "scheduling",
            "control",
            "peer",
            "worker",
            "machine",
            "job",
            "api",
            "controller",
            "federation");

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages(ROOT);

    @Test
    void packagesUseOnlyLowerLayers() {
        LayeredArchitecture layers = layeredArchitecture().consideringOnlyDependenciesInAnyPackage(ROOT + "..");
        for (String name : BOTTOM_UP) {
            layers = layers.layer(name).definedBy(ROOT + "." + name + "..");
        }
        layers = layers.layer("main").definedBy(ROOT);
        for (int i = 0; i < BOTTOM_UP.size(); i++) {
            var users = new TreeSet<>(BOTTOM_UP.subList(i + 1, BOTTOM_UP.size()));
            users.add("main");
            layers = layers.whereLayer(BOTTOM_UP.get(i)).mayOnlyBeAccessedByLayers(users.toArray(String[]::new));
        }
        layers.whereLayer("main").mayNotBeAccessedByAnyLayer().check(CLASSES);
    }

    @Test
    void packageDependenciesHaveNoCycles() {
        slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void everyPackageBelongsToALayer() {
        Set<String> present = new TreeSet<>();
        CLASSES.forEach(javaClass -> {
            String name = javaClass.getPackageName();
            if (!name.equals(ROOT)) {
                present.add(name.substring(ROOT.length() + 1).split("\\.")[0]);
            }
        });
        assertEquals(new TreeSet<>(BOTTOM_UP), present);
    }
}
