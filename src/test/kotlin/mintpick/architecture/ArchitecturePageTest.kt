package mintpick.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText

/** Guards against a docs/architecture.md that refers to files that were moved or deleted. */
class ArchitecturePageTest {
    private val namedFiles = FILE_PATTERN.findAll(Path.of("docs/architecture.md").readText()).map { it.value }.toSet()

    private val sources: Set<String> by lazy {
        Files.walk(Path.of("src")).use { files -> files.map { it.fileName.toString() }.toList().toSet() }
    }

    @Test
    fun `files named on the architecture page exist`() {
        assertTrue(namedFiles.size >= MIN_NAMED_FILES, "${namedFiles.size} files are named")
        val missing = namedFiles.filterNot { if ('/' in it) Path.of(it).exists() else it in sources }
        assertEquals(emptyList<String>(), missing)
    }

    private companion object {
        /** Matches Kotlin files by name or path, and pages and deployment files by path. */
        val FILE_PATTERN = Regex("""[\w./-]+\.(?:kt|md|toml|yaml|sh|xml)\b""")
        const val MIN_NAMED_FILES = 20
    }
}
