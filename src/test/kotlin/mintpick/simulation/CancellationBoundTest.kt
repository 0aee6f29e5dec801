package mintpick.simulation

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.leader
import mintpick.wire.JobAnswer
import mintpick.wire.JobSpec
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/**
 * The state store refuses only the leader, and another controller confirms cancellations. Then the state store is down for all
 * controllers for longer than `cancel_s`, while agents keep sending heartbeats to the old leader. Whichever messages are lost
 * in the meantime, the tasks of the cancelled jobs must have stopped within `cancel_s` of the confirmation.
 */
class CancellationBoundTest {
    private class Scenario(
        val cluster: SimulatedCluster,
    ) {
        val leader: SimulatedCluster.Node = cluster.leader()
        val others: List<SimulatedCluster.Node> = cluster.nodes - leader
        val confirmed = HashSet<String>()

        /** Sends [node] one request to cancel job [id] and passes a successful answer to the rule checker. */
        fun cancel(
            id: String,
            node: SimulatedCluster.Node,
        ) {
            cluster.rules.cancelRequested(id)
            val reply =
                ReplyTo { answer ->
                    if (answer.status == OK) {
                        confirmed += id
                        val stage = WireJson.decodeFromString(JobAnswer.serializer(), answer.body.decodeToString()).stage
                        cluster.rules.jobAnswered(id, stage, cluster.now)
                    }
                }
            node.deliver(Event.Cancel(JobId(id), reply))
        }
    }

    private fun service(n: Int): JobSpec = SampleJobs.service(n, spread = true)

    /**
     * Runs the scenario: the state store refuses the leader from 60 s on, all jobs but the first two are cancelled through the
     * other controllers, and the state store is down from 62 s on for [outageUs]. [injectFault] adds another fault.
     */
    private fun runScenario(
        seed: Long,
        outageUs: Micros = 55 * SECOND,
        injectFault: Scenario.() -> Unit,
    ): Scenario {
        val cluster = SimulatedCluster(seed, FaultRates()) { SampleJobs.settings(it) }
        (1..JOBS).forEach { n -> cluster.after(n * SECOND) { cluster.addUser(service(n), null) } }
        cluster.run(60 * SECOND)
        val scenario = Scenario(cluster)
        scenario.leader.cutFromState = true
        (3..JOBS).forEach { n ->
            val delayUs = SECOND + n * 40 * MILLI
            cluster.after(delayUs) { scenario.cancel("req-%06d".format(n), scenario.others[n % scenario.others.size]) }
        }
        cluster.after(2 * SECOND) { cluster.state.unavailable = true }
        cluster.after(2 * SECOND + outageUs) { cluster.state.unavailable = false }
        cluster.after(14 * SECOND) { scenario.leader.cutFromState = false }
        scenario.injectFault()
        cluster.run(62 * SECOND + outageUs + 20 * SECOND)
        assertTrue(scenario.confirmed.size > 2, "jobs with a confirmed cancellation: ${scenario.confirmed}")
        cluster.assertRulesHeld()
        return scenario
    }

    private val faults: Map<String, Scenario.() -> Unit> =
        mapOf(
            "no further fault" to { },
            "the confirming controllers end right after it and return unable to load" to {
                cluster.after(2100 * MILLI) { others.forEach { it.crash(300 * MILLI) } }
            },
            "one of the confirming controllers does not return" to {
                cluster.after(2100 * MILLI) { others[0].crash(60 * SECOND) }
            },
            "no hint arrives" to { leader.cutFromPeers = true },
            "hints are cut off between the first and the second confirmation" to {
                cluster.after(1250 * MILLI) { leader.cutFromPeers = true }
            },
            "the leader restarts within the outage" to { cluster.after(6 * SECOND) { leader.crash(200 * MILLI) } },
            "all controllers restart within the outage" to {
                cluster.after(5 * SECOND) { cluster.nodes.forEach { it.crash(300 * MILLI) } }
            },
            "a zone is cut off, and its controller answers for others" to {
                cluster.after(2500 * MILLI) { cluster.isolatedZone = leader.settings.zone }
                cluster.after(50 * SECOND) { cluster.isolatedZone = null }
            },
            "machines hang at first and carry on within their leases" to {
                cluster.agents.values.forEach { it.hangingUntilUs = cluster.now + 15 * SECOND }
            },
            "machines hear no answers for a while" to {
                cluster.agents.values.forEach { it.inboundLost = true }
                cluster.after(16 * SECOND) { cluster.agents.values.forEach { it.inboundLost = false } }
            },
            "a second outage follows a short service" to {
                cluster.after(26 * SECOND) { cluster.state.unavailable = false }
                cluster.after(27 * SECOND) { cluster.state.unavailable = true }
                cluster.after(26 * SECOND) { leader.cutFromState = true }
            },
            "the cloud is down as well" to { cluster.cloud.unavailable = true },
        )

    @TestFactory
    fun `cancelled tasks stop within the bound although the old leader cannot learn of the cancellation`() =
        faults.flatMap { (name, fault) ->
            (1L..3L).map { seed -> DynamicTest.dynamicTest("$name, seed $seed") { runScenario(seed, injectFault = fault) } }
        }

    /** Without an outage, the old leader's shards move to other controllers while it still answers its agents. */
    @TestFactory
    fun `jobs are cancelled through the new leader while the old one reaches only its agents`() =
        (11L..14L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = SimulatedCluster(seed, FaultRates()) { SampleJobs.settings(it) }
                (1..JOBS).forEach { n -> cluster.after(n * SECOND) { cluster.addUser(service(n), null) } }
                cluster.run(60 * SECOND)
                val scenario = Scenario(cluster)
                scenario.leader.cutFromState = true
                scenario.leader.cutFromPeers = true
                (3..JOBS).forEach { n ->
                    cluster.after(n * 2 * SECOND) { scenario.cancel("req-%06d".format(n), scenario.others[n % 2]) }
                }
                cluster.run(130 * SECOND)
                assertTrue(cluster.leader() !== scenario.leader, "the isolated controller is still the leader")
                scenario.leader.cutFromState = false
                scenario.leader.cutFromPeers = false
                cluster.run(160 * SECOND)
                assertEquals(JOBS - 2, scenario.confirmed.size)
                cluster.assertRulesHeld()
            }
        }

    /** Answers of the state store take up to three seconds while users cancel. Then the state store is down. */
    @TestFactory
    fun `cancelled tasks stop within the bound when the state store is slow and then down`() =
        (21L..24L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val scenario =
                    runScenario(seed) {
                        cluster.stateStoreFaults.slowRate = 300
                        cluster.after(20 * SECOND) { cluster.stateStoreFaults.slowRate = 0 }
                    }
                assertTrue(scenario.cluster.stateStoreFaults.slowAnswers > 0, "no answer was slow")
            }
        }

    /**
     * While all controllers answer hints, the bound on renewals of leases stops no task: their answers show that no cancellation
     * is unknown.
     */
    @Test
    fun `services keep running through an outage of the state store that affects all controllers`() {
        val cluster = SimulatedCluster(7, FaultRates()) { SampleJobs.settings(it) }
        (1..JOBS).forEach { n -> cluster.after(n * SECOND) { cluster.addUser(service(n), null) } }
        cluster.run(60 * SECOND)
        val starts = cluster.rules.starts
        cluster.state.unavailable = true
        cluster.run(130 * SECOND)
        cluster.state.unavailable = false
        cluster.run(150 * SECOND)
        assertEquals(JOBS * 2, starts)
        assertEquals(starts, cluster.rules.starts, "starts before and after the outage")
        cluster.assertRulesHeld()
    }

    private companion object {
        const val JOBS = 10
        const val OK = 200
    }
}
