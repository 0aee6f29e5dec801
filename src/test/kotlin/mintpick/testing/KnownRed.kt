package mintpick.testing

import org.junit.jupiter.api.Assumptions
import java.nio.file.Files
import java.nio.file.Path

/** Cases that KNOWN-RED.txt lists as failing because of a fault that is not fixed yet. */
object KnownRed {
    private val entries = Files.readAllLines(Path.of("KNOWN-RED.txt"))

    /** Passes over the case [seed] of [test] if it is listed, and prints its entry. */
    fun passOver(
        test: String,
        seed: Long,
    ) {
        val entry = entries.firstOrNull { it.startsWith("$test seed $seed ") } ?: return
        println("known red: $entry")
        Assumptions.abort<Unit>(entry)
    }
}
