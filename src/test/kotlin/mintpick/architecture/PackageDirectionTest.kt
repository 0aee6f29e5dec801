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

/** Packages of the engine import one way, and what is pure knows nothing of the engine. */
class PackageDirectionTest {
    private val mainClasses: JavaClasses by lazy {
        ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages(ROOT)
    }

    /** One rule a package: it does not depend on any package above it. */
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
    fun `packages of the engine import only packages below them`() {
        assertEquals(emptyList<String>(), violations(mainClasses, directionRules()))
    }

    @Test
    fun `every package of the engine has its place in the order`() {
        val packages =
            mainClasses
                .map { it.packageName }
                .filter { it.startsWith("$ENGINE.") }
                .map { it.removePrefix("$ENGINE.").substringBefore('.') }
        assertEquals(LAYERS.toSet(), packages.toSet())
    }

    @Test
    fun `an import upwards is found`() {
        val planted = ClassFileImporter().importClasses(UpwardImport::class.java)
        assertTrue(
            violations(planted, directionRules().map { it.allowEmptyShould(true) }).any {
                "UpwardImport" in it &&
                    "CapacityPlanner" in it
            },
        )
    }

    @Test
    fun `pure packages and protocols do not know the engine`() {
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

        /** From the lowest to the highest; [ENGINE] itself, with the event loop, is above all of them. */
        val LAYERS = listOf("cache", "runtime", "state", "transactions", "membership", "agents", "jobs", "scheduling", "capacity")
        val BELOW_THE_ENGINE = listOf("wire", "config", "core", "dependencies", "store", "cloud", "agents", "net")
    }
}
