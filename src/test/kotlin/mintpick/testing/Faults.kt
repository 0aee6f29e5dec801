package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND

/** A kind of fault that days may combine. It begins when called and ends by itself after about the given span. */
internal class Fault(
    val name: String,
    val begin: SimulatedCluster.(Micros) -> Unit,
)

internal fun SimulatedCluster.anyNode(): SimulatedCluster.Node = nodes[random.nextInt(nodes.size)]

/** About one in [part] of the workers. */
internal fun SimulatedCluster.someWorkers(part: Int): List<SimulatedAgent> = workers.values.filter { random.nextInt(part) == 0 }

/** Begins one of [kinds] for between [least] and [most]; returns its name. */
internal fun SimulatedCluster.injectRandom(
    kinds: List<Fault>,
    least: Micros,
    most: Micros,
): String {
    val fault = kinds[random.nextInt(kinds.size)]
    val span = least + random.nextLong(most - least)
    fault.begin(this, span)
    return fault.name
}

/** Faults of controllers: ends, restarts and what each can reach. */
internal val CONTROLLER_FAULTS =
    listOf(
        Fault("controller ends") { span -> anyNode().crash(span / 4) },
        Fault("controller is back within a moment") { anyNode().crash(random.nextLong(SECOND / 2)) },
        Fault("all controllers end") { span -> nodes.forEach { it.crash(SECOND + random.nextLong(span / 4)) } },
        Fault("all controllers are back within a moment") { nodes.forEach { it.crash(random.nextLong(SECOND)) } },
        Fault("controller process paused") { span -> anyNode().pauseProcess(span) },
        Fault("controllers end one after the other") { span ->
            nodes.forEachIndexed { i, node -> after(i * span / 3) { node.crash(SECOND) } }
        },
        Fault("controller without state service") { span ->
            val node = anyNode()
            node.cutFromState = true
            after(span) { node.cutFromState = false }
        },
        Fault("controller without workers") { span ->
            val node = anyNode()
            node.cutFromWorkers = true
            after(span) { node.cutFromWorkers = false }
        },
        Fault("controller without state service and peers") { span ->
            val node = anyNode()
            node.cutFromState = true
            node.cutFromPeers = true
            after(span) {
                node.cutFromState = false
                node.cutFromPeers = false
            }
        },
        Fault("controllers do not hear each other") { span ->
            nodes.forEach { it.cutFromPeers = true }
            after(span) { nodes.forEach { it.cutFromPeers = false } }
        },
    )

/** Faults of the state service and of the cloud. */
internal val SERVICE_FAULTS =
    listOf(
        Fault("state service out") { span ->
            state.out = true
            after(span) { state.out = false }
        },
        Fault("controllers restart in an outage") { span ->
            state.out = true
            after(span / 3) { nodes.forEach { it.crash(random.nextLong(SECOND / 3)) } }
            after(span) { state.out = false }
        },
        Fault("state service refuses one controller, then everybody") { span ->
            stateStoreFaults.refused = anyNode()
            after(span / 4) { state.out = true }
            after(span / 2) { stateStoreFaults.refused = null }
            after(span) { state.out = false }
        },
        Fault("late writes") { span -> loseWrites(span, atOnce = false) },
        Fault("lost answers to writes") { span -> loseWrites(span, atOnce = true) },
        Fault("state service slow") { span ->
            stateStoreFaults.slow = 300
            after(span) { stateStoreFaults.slow = 0 }
        },
        Fault("cloud out") { span ->
            cloud.out = true
            after(span) { cloud.out = false }
        },
    )

/** Faults of machines and of whole zones. */
internal val MACHINE_FAULTS =
    listOf(
        Fault("machines hang") { span -> someWorkers(3).forEach { it.hangingUntilUs = now + random.nextLong(span) } },
        Fault("machines hang for a moment") { someWorkers(4).forEach { it.hangingUntilUs = now + random.nextLong(SECOND / 2) } },
        Fault("machines die") { someWorkers(4).forEach { remove(it.id) } },
        Fault("machines deaf") { span ->
            val deaf = someWorkers(4)
            deaf.forEach { it.deaf = true }
            after(span) { deaf.forEach { it.deaf = false } }
        },
        Fault("zones cut from each other") { span ->
            zonesCut = true
            after(span) { zonesCut = false }
        },
        Fault("zone cut off from everything") { span ->
            zoneOut = listOf("north", "south")[random.nextInt(2)]
            after(span) { zoneOut = null }
        },
    )

/** Faults of what workers, controllers and users tell each other. */
internal val MESSAGE_FAULTS =
    listOf(
        Fault("machines mute") { span ->
            val mute = someWorkers(4)
            mute.forEach { it.mute = true }
            after(span) { mute.forEach { it.mute = false } }
        },
        Fault("late commands") { span ->
            messageDelays.lateCommands = 200
            after(span) { messageDelays.lateCommands = 0 }
        },
        Fault("copies of reports for the next leader") { span ->
            messageDelays.keptForNext = 200
            after(span) { messageDelays.keptForNext = 0 }
        },
        Fault("jobs cancelled at once") { userFaults.cancelNow(count = 5, hangUs = 0) },
        Fault("jobs cancelled at once on machines that hang") { span -> userFaults.cancelNow(count = 5, hangUs = span / 2) },
        Fault("jobs cancelled at their end") { span ->
            userFaults.cancelAtEnd(percent = 50)
            after(span) { userFaults.cancelAtEnd(percent = 0) }
        },
        Fault("slow links") { span ->
            linkDelay = { _, _ -> random.nextLong(SECOND / 2) }
            after(span) { linkDelay = { _, _ -> 0 } }
        },
    )

private fun SimulatedCluster.loseWrites(
    span: Micros,
    atOnce: Boolean,
) {
    stateStoreFaults.atOnce = atOnce
    stateStoreFaults.lost = 300
    after(span) { stateStoreFaults.lost = 0 }
}

internal val ALL_FAULTS = CONTROLLER_FAULTS + SERVICE_FAULTS + MACHINE_FAULTS + MESSAGE_FAULTS
