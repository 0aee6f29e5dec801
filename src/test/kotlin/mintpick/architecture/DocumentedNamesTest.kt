package mintpick.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** Guards against documentation pages that refer to classes and members by names that have changed in the code. */
class DocumentedNamesTest {
    private val sources: List<String> by lazy {
        Files.walk(Path.of("src")).use { files -> files.filter { it.extension == "kt" }.map { it.readText() }.toList() }
    }

    @TestFactory
    fun `members named on a page occur in a file that declares their class`() =
        PAGES.map { page ->
            DynamicTest.dynamicTest(page) {
                val matches = MEMBER_PATTERN.findAll(Path.of(page).readText())
                val namedMembers = matches.map { Member(it.groupValues[1], it.groupValues[2]) }.toSet()
                assertEquals(emptyList<Member>(), namedMembers.filterNot(::exists))
            }
        }

    private data class Member(
        val owner: String,
        val name: String,
    )

    private fun exists(member: Member): Boolean {
        val declaration = Regex("""\b(?:class|object|interface) ${member.owner}\b""")
        val name = Regex("""\b${member.name}\b""")
        return sources.any { declaration.containsMatchIn(it) && name.containsMatchIn(it) }
    }

    private companion object {
        /** Matches `Class.member` in backticks, with or without the package name. */
        val MEMBER_PATTERN = Regex("""`(?:[a-z]+\.)*([A-Z]\w+)\.(\w+)`""")
        val PAGES =
            listOf("design", "limits", "fault-combinations", "operations", "questions", "upgrade").map { "docs/$it.md" }
    }
}
