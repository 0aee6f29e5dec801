package mintpick.core

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.testing.SimulatedAgent
import mintpick.testing.TaskWatcher
import mintpick.wire.Command
import mintpick.wire.CommandBatch
import mintpick.wire.Verb
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A [MachineView] and an agent that executes any start again, over drawn orders of starts, answers, copies, forgets and raised tokens. */
class RepeatedStartPropertyTest {
    private enum class Step { START, START_IN_ANSWER, LOSE_ANSWER, STOP, FORGET, COPY, HEARTBEAT, RAISE_TOKEN, EXPIRE_LEASE }

    /** A controller that commands one agent by what its view allows, and a network that delivers old calls again. */
    private class Session : TaskWatcher {
        private val agent = SimulatedAgent("m", "a", "small", "north", false, LEASE, this, 0)
        private val view = MachineView(MachineId("m"), 0)
        private val calls = ArrayList<CommandBatch>()
        private val forgotten = HashSet<AttemptId>()
        val violations = ArrayList<String>()
        var forgets = 0
            private set
        private var token = 1L
        private var now: Micros = 1

        init {
            receive()
        }

        override fun started(
            machine: SimulatedAgent,
            task: String,
            now: Micros,
        ) = Unit

        override fun ended(
            machine: SimulatedAgent,
            task: String,
            completed: Boolean,
            now: Micros,
        ) = Unit

        override fun tokenRaised(
            machine: SimulatedAgent,
            token: Long,
        ) = Unit

        override fun runTimeUs(task: String): Micros? = null

        override fun fails(
            machine: SimulatedAgent,
            task: String,
        ): Boolean = false

        override fun removedTooEarly(
            machine: SimulatedAgent,
            task: String,
        ) {
            violations += "removed too early: $task"
        }

        private fun receive() {
            view.applyStatus(agent.heartbeat(now), now, isDirectAnswer = false)
        }

        private fun command(
            verb: Verb,
            attempt: AttemptId,
        ) = Command(verb, attempt.task.toString(), attempt.attempt, 0)

        private fun call(
            commands: List<Command>,
            isAnswered: Boolean,
        ) {
            val batch = CommandBatch(token, view.agentEpoch, commands)
            val starts = commands.filter { it.verb == Verb.START }.map { AttemptId(requireNotNull(TaskId.parse(it.task)), it.attempt) }
            starts.forEach { view.recordStartSent(it, batch.token, batch.agentEpoch) }
            calls += batch
            val (status, report) = execute(batch)
            if (!isAnswered) return starts.forEach(view::recordStartTimeout)
            starts.forEach { if (status == OK) view.recordStartExecuted(it) else view.recordStartNotExecuted(it) }
            view.applyStatus(report, now, isDirectAnswer = true)
        }

        private fun execute(batch: CommandBatch) = agent.handleCommands(batch.token, batch.agentEpoch, batch.commands, now)

        fun take(
            step: Step,
            index: Int,
        ) {
            now += SECOND
            val attempt = AttemptId(TaskId(JobId("req-000001"), index), 1)
            // Attempts are numbered, so a start that the controller has seen forgotten is not sent again.
            val mayStart = attempt !in forgotten && view.taskReport(attempt) == null
            when (step) {
                Step.START -> if (mayStart) call(listOf(command(Verb.START, attempt)), isAnswered = true)
                Step.LOSE_ANSWER -> if (mayStart) call(listOf(command(Verb.START, attempt)), isAnswered = false)
                Step.STOP -> call(listOf(command(Verb.STOP, attempt)), isAnswered = true)
                Step.START_IN_ANSWER -> if (mayStart) startInAnswer(attempt)
                Step.FORGET -> forget()
                Step.COPY -> calls.getOrNull(index)?.let(::execute)
                Step.HEARTBEAT -> receive()
                Step.RAISE_TOKEN -> token++
                Step.EXPIRE_LEASE -> agent.tick(now + LEASE * 2)
            }
            agent.listedAttempts().filter { isForgottenInThisEpoch(it.task) }.forEach { violations += "listed again: ${it.task}" }
        }

        private fun isForgottenInThisEpoch(task: String): Boolean =
            forgotten.any { it.task.toString() == task } && agent.agentEpoch == view.agentEpoch

        private fun startInAnswer(attempt: AttemptId) {
            receive()
            val heartbeatEpoch = view.agentEpoch
            view.recordStartsInAnswer(setOf(attempt))
            agent.handleHeartbeatAnswer(heartbeatEpoch, now, token, listOf(command(Verb.START, attempt)), now)
        }

        private fun forget() {
            val ended = view.reportedAttempts.map { it.key }.filter { view.proof(it, token) is Proof.Ended && view.mayForget(it, token) }
            forgets += ended.size
            forgotten += ended
            if (ended.isNotEmpty()) call(ended.map { command(Verb.REMOVE, it) }, isAnswered = true)
        }
    }

    @Test
    fun `no copy of a start runs an attempt again that the agent was told to forget`() {
        var forgets = 0
        runBlocking {
            checkAll(PropTestConfig(seed = 56, iterations = 3_000), Arb.list(Arb.pair(Arb.enum<Step>(), Arb.int(0, 5)), 20..60)) { steps ->
                val session = Session()
                for ((step, index) in steps) session.take(step, index)
                assertEquals(emptyList<String>(), session.violations)
                forgets += session.forgets
            }
        }
        assertTrue(forgets > 1_000, "$forgets attempts forgotten")
    }

    private companion object {
        const val OK = 200
        const val LEASE = 3_600 * SECOND
    }
}
