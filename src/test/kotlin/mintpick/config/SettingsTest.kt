package mintpick.config

import mintpick.core.SECOND
import mintpick.testing.SampleJobs
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class SettingsTest {
    @Test
    fun `the platform's file is read, unknown fields and all`() {
        val settings = Settings.parse(SampleJobs.toml(1))
        assertEquals("node-1", settings.node)
        assertEquals(listOf("node-0", "node-2"), settings.peers.map { it.node })
        assertEquals(18 * SECOND, settings.leaseUs)
        assertEquals(Address("10.0.0.2", 8080), settings.api)
    }

    private val withNext =
        SampleJobs.toml().replace(
            "[settings.cloud]",
            "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 50\n\n[settings.cloud]",
        )

    @Test
    fun `of the present limits and the next the smaller of each kind counts`() {
        val settings = Settings.parse(withNext)
        assertEquals(PlatformFile.State(rps = 100.0, writeRps = 40.0, valueKb = 2.0, transactionOps = 16), settings.limits)
        assertEquals(32.0, settings.valueKbAtStart)
        val plain = Settings.parse(SampleJobs.toml())
        assertEquals(32.0 to 32.0, plain.limits.valueKb to plain.valueKbAtStart)
    }

    private val faults =
        mapOf(
            "api_addr" to { t: String -> t.replace("10.0.0.1:8080", "10.0.0.1") },
            "lease_s" to { t: String -> t.replace("lease_s = 18.0\n", "") },
            "write_rps" to { t: String -> t.replace("write_rps = 40.0", "write_rps = -1.0") },
            "txn_ops" to { t: String -> t.replace("txn_ops = 16", "txn_ops = 0") },
            "state.next.value_kb" to { _: String -> withNext.replace("value_kb = 2.0", "value_kb = 0.0") },
            "state.next.txn_ops" to { _: String -> withNext.replace("txn_ops = 50", "txn_ops = 0") },
            "cancel_s" to { t: String -> t.replace("cancel_s = 43.0", "cancel_s = 3.0") },
            "zones" to { t: String -> t.replace("[\"north\", \"south\"]", "[]") },
            "node" to { t: String -> t.replace("node = \"node-0\"\n", "") },
            "teams" to { t: String -> t.replace("name = \"blue\"", "name = \"red\"") },
        )

    @TestFactory
    fun `a fault ends in one line that names the field`() =
        faults.map { (field, fault) ->
            DynamicTest.dynamicTest(field) {
                val error = assertThrows(ConfigException::class.java) { Settings.parse(fault(SampleJobs.toml())) }
                assertTrue(field in error.message.orEmpty(), error.message)
                assertEquals(
                    1,
                    error.message
                        .orEmpty()
                        .lines()
                        .size,
                )
            }
        }

    @Test
    fun `text that is no TOML is refused in one line`() {
        for (text in listOf("", "node = ", "[[[", "\u0000")) {
            val error = assertThrows(ConfigException::class.java) { Settings.parse(text) }
            assertEquals(
                1,
                error.message
                    .orEmpty()
                    .lines()
                    .size,
            )
        }
    }
}
