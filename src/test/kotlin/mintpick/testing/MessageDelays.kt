package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.net.Target
import mintpick.wire.ClaimRecord
import mintpick.wire.CommandBatch
import mintpick.wire.MachineReport
import mintpick.wire.WireJson

/** Holds up direct commands and keeps copies of reports, which then arrive late. */
class MessageDelays(
    private val cluster: SimulatedCluster,
) {
    /** A direct command that was held up, with the answer that nobody waits for any more. */
    class Held(
        val worker: SimulatedAgent,
        val batch: CommandBatch,
        val call: Call,
    ) {
        var status: Int? = null
    }

    /** For how long a command of a controller to a machine is held up; null: not at all. */
    var holdUs: (SimulatedCluster.Node, SimulatedAgent, CommandBatch) -> Micros? = { _, _, _ -> null }
    val held = ArrayList<Held>()

    /** Thousandths of direct commands that arrive 2 to 16 s late. */
    var lateCommands = 0

    /** Thousandths of reports of which a copy is kept until a new leader has begun. */
    var keptForNext = 0
    private val kept = ArrayList<MachineReport>()
    private var leader: ClaimRecord? = null

    /** How often a new leader was met by copies, and how many there were. */
    var leadersReached = 0
        private set
    var copiesDelivered = 0
        private set

    /** How long [call] travels if it is a command that is to be late. */
    fun travelUs(
        from: SimulatedCluster.Node,
        call: Call,
    ): Micros? {
        if (call.target !is Target.Worker || call.method != "POST") return null
        val worker = cluster.workers.values.firstOrNull { it.address == call.target.address } ?: return null
        val batch = WireJson.decodeFromString(CommandBatch.serializer(), requireNotNull(call.body).decodeToString())
        val late = lateCommands > 0 && cluster.random.nextInt(THOUSAND) < lateCommands
        val travel = holdUs(from, worker, batch) ?: if (late) drawn() else return null
        held += Held(worker, batch, call)
        return travel
    }

    private fun drawn(): Micros = 2 * SECOND + cluster.random.nextLong(14 * SECOND)

    fun arrived(
        call: Call,
        status: Int,
    ) {
        held.filter { it.call === call }.forEach { it.status = status }
    }

    /** To be called for each report that a worker sends. */
    fun reported(report: MachineReport) {
        if (keptForNext > 0 && cluster.random.nextInt(THOUSAND) < keptForNext) kept += report
    }

    fun keep(report: MachineReport) {
        kept += report
    }

    /** Brings what was kept to every controller once another process has become leader. */
    fun tick() {
        if (keptForNext == 0 && kept.isEmpty()) return
        val now = cluster.leadership() ?: return
        if (leader != null && now != leader && kept.isNotEmpty()) {
            leadersReached++
            copiesDelivered += kept.size
            kept.forEach { copy -> cluster.nodes.forEach { cluster.replay(copy, it) } }
            kept.clear()
        }
        leader = now
    }

    private companion object {
        const val THOUSAND = 1000
    }
}
