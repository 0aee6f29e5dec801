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
    fun `the platform's file is parsed, unknown fields are ignored`() {
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
    fun `each limit is the smaller of its current and its announced value`() {
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
            "fd_limit" to { t: String -> t.replace("fd_limit = 1800", "fd_limit = 127") },
            "cancel_s" to { t: String -> t.replace("cancel_s = 43.0", "cancel_s = 3.0") },
            "zones" to { t: String -> t.replace("[\"north\", \"south\"]", "[]") },
            "node" to { t: String -> t.replace("node = \"node-0\"\n", "") },
            "teams" to { t: String -> t.replace("name = \"blue\"", "name = \"red\"") },
        )

    @TestFactory
    fun `an invalid field is refused with one line that names it`() =
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

    private val messages =
        mapOf(
            "api_addr: \"10.0.0.1\" must be host:port with a port from 1 to 65535" to
                { t: String -> t.replace("10.0.0.1:8080", "10.0.0.1") },
            "node: \" \" must not be blank" to { t: String -> t.replace("node = \"node-0\"", "node = \"\\n\"") },
            "settings.zones: [] must list at least one zone" to { t: String -> t.replace("[\"north\", \"south\"]", "[]") },
            "settings.teams: name \"red\" must be unique, but is used more than once" to
                { t: String -> t.replace("name = \"blue\"", "name = \"red\"") },
            "settings.teams: \"a b\": cpus: -1.0 must be a finite number of at least 0" to
                { t: String -> t.replace("name = \"blue\"", "name = \"a\\nb\"\ncpus = -1.0") },
            "settings.workers.cancel_s: 3.0 must be greater than lease_s (18.0)" to
                { t: String -> t.replace("cancel_s = 43.0", "cancel_s = 3.0") },
            "settings.state.txn_ops: 0 must be at least 3" to { t: String -> t.replace("txn_ops = 16", "txn_ops = 0") },
            "settings.state.txn_ops: 2 must be at least 3" to { t: String -> t.replace("txn_ops = 16", "txn_ops = 2") },
            "settings.state.write_rps: 2.5 must be at least 3" to { t: String -> t.replace("write_rps = 40.0", "write_rps = 2.5") },
            "settings.state.write_rps: -1.0 must be a finite number greater than 0" to
                { t: String -> t.replace("write_rps = 40.0", "write_rps = -1.0") },
        )

    @TestFactory
    fun `the message for an invalid value contains field, value and accepted values`() =
        messages.map { (message, fault) ->
            DynamicTest.dynamicTest(message) {
                val error = assertThrows(ConfigException::class.java) { Settings.parse(fault(SampleJobs.toml())) }
                assertEquals(message, error.message)
            }
        }

    @Test
    fun `text that is not valid TOML is refused with one line`() {
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
