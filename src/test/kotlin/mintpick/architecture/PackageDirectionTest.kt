package mintpick.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.ArchRule
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import mintpick.engine.cache.UpwardImport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Packages of the engine depend on each other in one direction only, and packages below the engine do not depend on it. */
class PackageDirectionTest {
    private val mainClasses: JavaClasses by lazy {
        ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages(ROOT)
    }

    /** One rule for each package: it does not depend on any package above it. */
    private fun directionRules(): List<ArchRule> =
        LAYERS.mapIndexed { level, layer ->
            val above = LAYERS.drop(level + 1).map { "$ENGINE.$it.." } + ENGINE
            noClasses()
                .that()
                .resideInAPackage("$ENGINE.$layer..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(*above.toTypedArray())
        }

    private fun violations(
        classes: JavaClasses,
        rules: List<ArchRule>,
    ): List<String> = rules.flatMap { it.evaluate(classes).failureReport.details }

    @Test
    fun `engine packages depend only on packages below them`() {
        assertEquals(emptyList<String>(), violations(mainClasses, directionRules()))
    }

    @Test
    fun `every engine package is listed in the layer order`() {
        val packages =
            mainClasses
                .map { it.packageName }
                .filter { it.startsWith("$ENGINE.") }
                .map { it.removePrefix("$ENGINE.").substringBefore('.') }
        assertEquals(LAYERS.toSet(), packages.toSet())
    }

    @Test
    fun `a dependency on a higher package is reported`() {
        val violation = ClassFileImporter().importClasses(UpwardImport::class.java)
        assertTrue(
            violations(violation, directionRules().map { it.allowEmptyShould(true) }).any {
                "UpwardImport" in it &&
                    "CapacityPlanner" in it
            },
        )
    }

    @Test
    fun `packages below the engine do not depend on it`() {
        val rule =
            noClasses()
                .that()
                .resideInAnyPackage(*BELOW_THE_ENGINE.map { "$ROOT.$it.." }.toTypedArray())
                .should()
                .dependOnClassesThat()
                .resideInAPackage("$ENGINE..")
        assertEquals(emptyList<String>(), violations(mainClasses, listOf(rule)))
    }

    private companion object {
        const val ROOT = "mintpick"
        const val ENGINE = "$ROOT.engine"

        /** Packages of the engine from the lowest to the highest. [ENGINE] itself, which contains the event loop, is above all of them. */
        val LAYERS = listOf("cache", "runtime", "state", "transactions", "membership", "agents", "jobs", "scheduling", "capacity")
        val BELOW_THE_ENGINE = listOf("wire", "config", "core", "dependencies", "store", "cloud", "agents", "net")
    }
}
