package mintpick.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** Pages for people on call name classes and members: a name that was changed in the code alone misleads them. */
class DocumentedNamesTest {
    private val sources: List<String> by lazy {
        Files.walk(Path.of("src")).use { files -> files.filter { it.extension == "kt" }.map { it.readText() }.toList() }
    }

    @TestFactory
    fun `members that a page names exist in a file that declares their class`() =
        PAGES.map { page ->
            DynamicTest.dynamicTest(page) {
                val named = MEMBER.findAll(Path.of(page).readText()).map { Member(it.groupValues[1], it.groupValues[2]) }.toSet()
                assertEquals(emptyList<Member>(), named.filterNot(::exists))
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
        /** A class in backticks, with its packages before it or not, and one of its members. */
        val MEMBER = Regex("""`(?:[a-z]+\.)*([A-Z]\w+)\.(\w+)`""")
        val PAGES =
            listOf("design", "limits", "fault-combinations", "operations", "questions", "upgrade").map { "docs/$it.md" }
    }
}
