package mintpick.wire

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The largest messages to and from agents. */
class MessageSizesTest {
    private val longestId = "req-" + "9".repeat(17) + "/99999"
    private val name = "n".repeat(200)

    @Test
    fun `a status with the largest number of the longest tasks fits into a request body`() {
        val task = TaskReport(longestId, Int.MAX_VALUE, TaskState.EXITED, ExitCause.STOPPED, false)
        val tasks = List(MAX_REPORTED_TASKS) { task }
        val report = MachineReport(name, name, name, name, false, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, 1234.5, tasks)
        assertFits(WireJson.encodeToString(MachineReport.serializer(), report))
    }

    @Test
    fun `a message with the largest number of the longest commands fits into a request body and into a line`() {
        val commands = List(MAX_COMMANDS) { Command(Verb.START, longestId, Int.MAX_VALUE, Int.MAX_VALUE) }
        assertFits(WireJson.encodeToString(CommandBatch.serializer(), CommandBatch(Long.MAX_VALUE, Long.MAX_VALUE, commands)))
        assertFits(WireJson.encodeToString(ReportAnswer.serializer(), ReportAnswer(Long.MAX_VALUE, commands)))
    }

    private fun assertFits(text: String) {
        val bytes = text.encodeToByteArray().size
        assertTrue(bytes <= MAX_BODY_BYTES, "$bytes bytes")
    }
}
