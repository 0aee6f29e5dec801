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
    private val claimants =
        arbitrary { Claimant(teams.bind(), Arb.element(Priority.entries).bind(), Arb.boolean().bind(), Arb.boolean().bind()) }
    private val occupants =
        arbitrary {
            Occupant(teams.bind(), Arb.element(Priority.entries).bind(), Arb.boolean().bind(), Arb.boolean().bind(), Arb.boolean().bind())
        }

    @Test
    fun `a funded task inside its window is never a victim`(): Unit =
        runBlocking {
            checkAll(config, occupants, claimants) { occupant, claimant ->
                if (occupant.funded && !occupant.expired) assertFalse(PreemptionPolicy.yields(occupant, claimant))
            }
        }

    @Test
    fun `unallocated work yields to every funded request that the platform lets stop it`(): Unit =
        runBlocking {
            checkAll(config, occupants, claimants) { occupant, claimant ->
                val allowed = claimant.priority < occupant.priority || claimant.team != occupant.team
                if (!occupant.funded && claimant.funded && allowed) assertTrue(PreemptionPolicy.yields(occupant, claimant))
            }
        }

    @Test
    fun `nothing yields to unallocated requests but services before batch work`(): Unit =
        runBlocking {
            checkAll(config, occupants, claimants) { occupant, claimant ->
                val service = claimant.priority == Priority.PRODUCTION && occupant.priority != Priority.PRODUCTION
                if (!claimant.funded && !service) assertFalse(PreemptionPolicy.yields(occupant, claimant))
            }
        }

    @Test
    fun `expired funded work yields only from a team over share to one that is not`(): Unit =
        runBlocking {
            checkAll(config, occupants, claimants) { occupant, claimant ->
                if (occupant.funded && PreemptionPolicy.yields(occupant, claimant)) {
                    assertTrue(occupant.expired && occupant.teamOverShare && !claimant.teamOverShare)
                }
            }
        }
}
