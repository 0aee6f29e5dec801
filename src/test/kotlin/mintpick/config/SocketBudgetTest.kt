package mintpick.config

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SocketBudgetTest {
    @Test
    fun `the parts of every accepted limit fit into it, and none is empty`() =
        runBlocking {
            checkAll(PropTestConfig(seed = 52), Arb.int(SocketBudget.MIN_SOCKETS, 20_000), Arb.int(0, 6)) { maxSockets, peers ->
                val budget = SocketBudget(maxSockets, peers)
                val calls = budget.agentCalls + budget.suspectAgentCalls + budget.keptCalls
                val parts = listOf(calls, budget.users, budget.agents, budget.keptAgents, budget.pendingUserRequests)
                assertTrue(parts.all { it > 0 }, "$budget: $parts")
                assertTrue(budget.users + budget.agents < budget.clients, "$budget: no socket is left to requests that were not read yet")
                assertTrue(calls + budget.clients < maxSockets, "$budget: calls take sockets of clients")
                assertTrue(budget.pendingUserRequests <= budget.users && budget.keptAgents <= budget.agents, "$budget: $parts")
            }
        }
}
