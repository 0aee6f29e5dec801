package mintpick.config

import mintpick.core.SECOND
import mintpick.core.ShareNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path

class OperatorsFileTest {
    @Test
    fun `the example file contains the defaults`() {
        assertEquals(Operators(), OperatorsFile.load(Path.of("docs/examples/operators.yaml")))
    }

    @Test
    fun `a nested share tree is parsed`() {
        val read =
            OperatorsFile.parse(
                "window_s: 120\nshares:\n  - name: g\n    weight: 3\n    members:\n      - {name: a, weight: 2}\n  - {name: b}\n",
            )
        assertEquals(120 * SECOND, read.windowUs)
        assertEquals(listOf("a", "b"), read.shares?.teams())
        assertEquals(ShareNode.Team("b", 1.0), read.shares?.children?.last())
    }

    @Test
    fun `an invalid file is refused with one line that names the key or the line`() {
        val faults =
            mapOf(
                "window_s: -5" to "window_s",
                "idle_s: 0" to "idle_s",
                "batch_headroom: .nan" to "batch_headroom",
                "widnow_s: 5" to "line 1",
                "idle_s: 5\nidle_s: [" to "line",
                "idle_s: soon" to "line 1",
                "shares:\n  - {name: a, weight: -1}" to "weight",
            )
        for ((text, part) in faults) {
            val error = assertThrows(ConfigException::class.java, { OperatorsFile.parse(text) }, text)
            assertTrue(part in error.message.orEmpty(), "$text: ${error.message}")
            assertEquals(
                1,
                error.message
                    .orEmpty()
                    .lines()
                    .size,
            )
        }
        assertThrows(ConfigException::class.java) { OperatorsFile.load(Path.of("docs/examples/missing.yaml")) }
    }

    @Test
    fun `the message for an invalid value contains key, value and accepted range`() {
        val messages =
            mapOf(
                "window_s: -5" to "operators: window_s: -5.0 must be from 60.0 to 2592000.0",
                "shares:\n  - {name: \"a\\nb\", weight: -1}" to "operators: shares: \"a b\": weight: -1.0 must be from 1.0E-6 to 1.0E9",
            )
        for ((text, message) in messages) {
            assertEquals(message, assertThrows(ConfigException::class.java, { OperatorsFile.parse(text) }, text).message)
        }
    }
}
