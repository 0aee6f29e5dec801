package mintpick.sim

import mintpick.Samples
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.wire.JobAnswer
import mintpick.wire.JobSpec
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/**
 * The state service refuses the leading controller alone, another one confirms cancellations, and then the state service
 * is out for everybody, longer than `cancel_s`, while workers keep reporting to the old leader. Whatever message is lost
 * meanwhile, the tasks of those jobs are gone within `cancel_s` of the confirmation.
 */
class CancellationBoundTest {
    private class Meeting(
        val world: World,
    ) {
        val leader: World.Node = world.leader()
        val others: List<World.Node> = world.nodes - leader
        val confirmed = HashSet<String>()

        /** Asks [node] once; what it answers goes to the rules. */
        fun cancel(
            id: String,
            node: World.Node,
        ) {
            world.rules.cancelRequested(id)
            val reply =
                ReplyTo { answer ->
                    if (answer.status == OK) {
                        confirmed += id
                        val stage = WireJson.decodeFromString(JobAnswer.serializer(), answer.body.decodeToString()).stage
                        world.rules.told(id, stage, world.now)
                    }
                }
            node.deliver(Event.Cancel(JobId(id), reply))
        }
    }

    private fun service(n: Int): JobSpec = Samples.service(n, spread = true)

    /**
     * Brings the meeting about: the leader is refused from 60 s on, all jobs but the first two are cancelled through the
     * others, and the state service is out from 62 s on for [outage]. [meanwhile] adds a further trouble.
     */
    private fun play(
        seed: Long,
        outage: Micros = 55 * SECOND,
        meanwhile: Meeting.() -> Unit,
    ): Meeting {
        val world = World(seed, FaultRates()) { Samples.settings(it) }
        (1..JOBS).forEach { n -> world.after(n * SECOND) { world.user(service(n), null) } }
        world.run(60 * SECOND)
        val meeting = Meeting(world)
        meeting.leader.cutFromState = true
        (3..JOBS).forEach { n ->
            val at = SECOND + n * 40 * MILLI
            world.after(at) { meeting.cancel("req-%06d".format(n), meeting.others[n % meeting.others.size]) }
        }
        world.after(2 * SECOND) { world.state.out = true }
        world.after(2 * SECOND + outage) { world.state.out = false }
        world.after(14 * SECOND) { meeting.leader.cutFromState = false }
        meeting.meanwhile()
        world.run(62 * SECOND + outage + 20 * SECOND)
        assertTrue(meeting.confirmed.size > 2, "confirmed before the outage: ${meeting.confirmed}")
        world.assertRulesHeld()
        return meeting
    }

    private val troubles: Map<String, Meeting.() -> Unit> =
        mapOf(
            "no further trouble" to { },
            "the confirming controllers end right after it and return unable to load" to {
                world.after(2100 * MILLI) { others.forEach { it.crash(300 * MILLI) } }
            },
            "one of the confirming controllers does not return" to {
                world.after(2100 * MILLI) { others[0].crash(60 * SECOND) }
            },
            "no hint arrives" to { leader.cutFromPeers = true },
            "hints are cut off between the first and the second confirmation" to {
                world.after(1250 * MILLI) { leader.cutFromPeers = true }
            },
            "the leader restarts within the outage" to { world.after(6 * SECOND) { leader.crash(200 * MILLI) } },
            "all controllers restart within the outage" to {
                world.after(5 * SECOND) { world.nodes.forEach { it.crash(300 * MILLI) } }
            },
            "a zone is cut off, and its controller answers for others" to {
                world.after(2500 * MILLI) { world.zoneOut = leader.settings.zone }
                world.after(50 * SECOND) { world.zoneOut = null }
            },
            "machines hang at first and carry on within their leases" to {
                world.workers.values.forEach { it.hangingUntilUs = world.now + 15 * SECOND }
            },
            "machines hear no answers for a while" to {
                world.workers.values.forEach { it.deaf = true }
                world.after(16 * SECOND) { world.workers.values.forEach { it.deaf = false } }
            },
            "a second outage follows a short service" to {
                world.after(26 * SECOND) { world.state.out = false }
                world.after(27 * SECOND) { world.state.out = true }
                world.after(26 * SECOND) { leader.cutFromState = true }
            },
            "the cloud is down as well" to { world.cloud.out = true },
        )

    @TestFactory
    fun `cancelled tasks are gone in time though the old leader can not hear of it`() =
        troubles.flatMap { (name, trouble) ->
            (1L..3L).map { seed -> DynamicTest.dynamicTest("$name, seed $seed") { play(seed, meanwhile = trouble) } }
        }

    /** Meeting 11: there is no outage, so the old leader's part passes on while it still answers its workers. */
    @TestFactory
    fun `jobs are cancelled through the new leader while the old one has its workers alone`() =
        (11L..14L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = World(seed, FaultRates()) { Samples.settings(it) }
                (1..JOBS).forEach { n -> world.after(n * SECOND) { world.user(service(n), null) } }
                world.run(60 * SECOND)
                val meeting = Meeting(world)
                meeting.leader.cutFromState = true
                meeting.leader.cutFromPeers = true
                (3..JOBS).forEach { n ->
                    world.after(n * 2 * SECOND) { meeting.cancel("req-%06d".format(n), meeting.others[n % 2]) }
                }
                world.run(130 * SECOND)
                assertTrue(world.leader() !== meeting.leader, "another one leads")
                meeting.leader.cutFromState = false
                meeting.leader.cutFromPeers = false
                world.run(160 * SECOND)
                assertEquals(JOBS - 2, meeting.confirmed.size)
                world.assertRulesHeld()
            }
        }

    /** Meeting 25: answers take up to three seconds while users cancel, and then nobody is served. */
    @TestFactory
    fun `jobs are cancelled while the state service is slow and then out`() =
        (21L..24L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val meeting =
                    play(seed) {
                        world.stateTroubles.slow = 300
                        world.after(20 * SECOND) { world.stateTroubles.slow = 0 }
                    }
                assertTrue(meeting.world.stateTroubles.slowAnswers > 0, "answers were slow")
            }
        }

    /** The bound costs nothing where all controllers are heard: what they answer accounts for all cancellations. */
    @Test
    fun `services go on through an outage that all controllers share`() {
        val world = World(7, FaultRates()) { Samples.settings(it) }
        (1..JOBS).forEach { n -> world.after(n * SECOND) { world.user(service(n), null) } }
        world.run(60 * SECOND)
        val starts = world.rules.starts
        world.state.out = true
        world.run(130 * SECOND)
        world.state.out = false
        world.run(150 * SECOND)
        assertEquals(JOBS * 2, starts)
        assertEquals(starts, world.rules.starts, "no replica lost its lease")
        world.assertRulesHeld()
    }

    private companion object {
        const val JOBS = 10
        const val OK = 200
    }
}
