package mintpick.core

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.element
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.wire.Priority
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PreemptionPolicyTest {
    private val config = PropTestConfig(seed = 41, iterations = 3_000)
    private val teams = Arb.element("red", "blue")
    private val preemptors =
        arbitrary { Preemptor(teams.bind(), Arb.element(Priority.entries).bind(), Arb.boolean().bind(), Arb.boolean().bind()) }
    private val victims =
        arbitrary {
            RunningTask(
                teams.bind(),
                Arb.element(Priority.entries).bind(),
                Arb.boolean().bind(),
                Arb.boolean().bind(),
                Arb.boolean().bind(),
            )
        }

    @Test
    fun `a funded task within its minimum runtime is never a victim`(): Unit =
        runBlocking {
            checkAll(config, victims, preemptors) { victim, preemptor ->
                if (victim.isFunded && !victim.isPastMinimumRuntime) assertFalse(PreemptionPolicy.isPreempted(victim, preemptor))
            }
        }

    @Test
    fun `unallocated work is preempted for every funded request that the platform's rules allow`(): Unit =
        runBlocking {
            checkAll(config, victims, preemptors) { victim, preemptor ->
                val allowed = preemptor.priority < victim.priority || preemptor.team != victim.team
                if (!victim.isFunded && preemptor.isFunded && allowed) assertTrue(PreemptionPolicy.isPreempted(victim, preemptor))
            }
        }

    @Test
    fun `an unallocated request preempts nothing, except a service batch work`(): Unit =
        runBlocking {
            checkAll(config, victims, preemptors) { victim, preemptor ->
                val service = preemptor.priority == Priority.PRODUCTION && victim.priority != Priority.PRODUCTION
                if (!preemptor.isFunded && !service) assertFalse(PreemptionPolicy.isPreempted(victim, preemptor))
            }
        }

    @Test
    fun `funded work past its minimum runtime is preempted only if its team is over share and the preemptor's is not`(): Unit =
        runBlocking {
            checkAll(config, victims, preemptors) { victim, preemptor ->
                if (victim.isFunded && PreemptionPolicy.isPreempted(victim, preemptor)) {
                    assertTrue(victim.isPastMinimumRuntime && victim.isTeamOverShare && !preemptor.isTeamOverShare)
                }
            }
        }
}
