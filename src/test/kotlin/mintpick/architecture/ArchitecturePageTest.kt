package mintpick.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText

/** What docs/architecture.md names is there: a page that points to moved files is worse than none. */
class ArchitecturePageTest {
    private val named = FILE.findAll(Path.of("docs/architecture.md").readText()).map { it.value }.toSet()

    private val sources: Set<String> by lazy {
        Files.walk(Path.of("src")).use { files -> files.map { it.fileName.toString() }.toList().toSet() }
    }

    @Test
    fun `files that the page names exist`() {
        assertTrue(named.size >= LEAST_NAMED, "${named.size} files are named")
        val missing = named.filterNot { if ('/' in it) Path.of(it).exists() else it in sources }
        assertEquals(emptyList<String>(), missing)
    }

    private companion object {
        /** Kotlin files by their name alone or by path, pages and deploy files by path. */
        val FILE = Regex("""[\w./-]+\.(?:kt|md|toml|yaml|sh|xml)\b""")
        const val LEAST_NAMED = 20
    }
}
