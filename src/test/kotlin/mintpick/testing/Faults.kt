package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND

/** A kind of fault that simulations may combine. [inject] starts it; it ends by itself after about the given duration. */
internal class Fault(
    val name: String,
    val inject: SimulatedCluster.(Micros) -> Unit,
)

internal fun SimulatedCluster.randomNode(): SimulatedCluster.Node = nodes[random.nextInt(nodes.size)]

/** Random selection of about one in [oneIn] agents. */
internal fun SimulatedCluster.randomAgents(oneIn: Int): List<SimulatedAgent> = agents.values.filter { random.nextInt(oneIn) == 0 }

/** Injects one of [faults], chosen at random, for between [minDuration] and [maxDuration]; returns its name. */
internal fun SimulatedCluster.injectRandomFault(
    faults: List<Fault>,
    minDuration: Micros,
    maxDuration: Micros,
): String {
    val fault = faults[random.nextInt(faults.size)]
    val duration = minDuration + random.nextLong(maxDuration - minDuration)
    fault.inject(this, duration)
    return fault.name
}

/** Faults of controllers: crashes, restarts, pauses and network partitions. */
internal val CONTROLLER_FAULTS =
    listOf(
        Fault("controller ends") { duration -> randomNode().crash(duration / 4) },
        Fault("controller is back within a moment") { randomNode().crash(random.nextLong(SECOND / 2)) },
        Fault("all controllers end") { duration -> nodes.forEach { it.crash(SECOND + random.nextLong(duration / 4)) } },
        Fault("all controllers are back within a moment") { nodes.forEach { it.crash(random.nextLong(SECOND)) } },
        Fault("controller process paused") { duration -> randomNode().pauseProcess(duration) },
        Fault("controllers end one after the other") { duration ->
            nodes.forEachIndexed { i, node -> after(i * duration / 3) { node.crash(SECOND) } }
        },
        Fault("controller without state service") { duration ->
            val node = randomNode()
            node.cutFromState = true
            after(duration) { node.cutFromState = false }
        },
        Fault("controller without workers") { duration ->
            val node = randomNode()
            node.cutFromAgents = true
            after(duration) { node.cutFromAgents = false }
        },
        Fault("controller without state service and peers") { duration ->
            val node = randomNode()
            node.cutFromState = true
            node.cutFromPeers = true
            after(duration) {
                node.cutFromState = false
                node.cutFromPeers = false
            }
        },
        Fault("controllers do not hear each other") { duration ->
            nodes.forEach { it.cutFromPeers = true }
            after(duration) { nodes.forEach { it.cutFromPeers = false } }
        },
    )

/** Faults of the state store and of the cloud. */
internal val SERVICE_FAULTS =
    listOf(
        Fault("state service out") { duration ->
            state.unavailable = true
            after(duration) { state.unavailable = false }
        },
        Fault("controllers restart in an outage") { duration ->
            state.unavailable = true
            after(duration / 3) { nodes.forEach { it.crash(random.nextLong(SECOND / 3)) } }
            after(duration) { state.unavailable = false }
        },
        Fault("state service refuses one controller, then everybody") { duration ->
            stateStoreFaults.refusedNode = randomNode()
            after(duration / 4) { state.unavailable = true }
            after(duration / 2) { stateStoreFaults.refusedNode = null }
            after(duration) { state.unavailable = false }
        },
        Fault("late writes") { duration -> loseTransactions(duration, immediately = false) },
        Fault("lost answers to writes") { duration -> loseTransactions(duration, immediately = true) },
        Fault("state service slow") { duration ->
            stateStoreFaults.slowRate = 300
            after(duration) { stateStoreFaults.slowRate = 0 }
        },
        Fault("cloud out") { duration ->
            cloud.unavailable = true
            after(duration) { cloud.unavailable = false }
        },
    )

/** Faults of machines and network partitions of whole zones. */
internal val MACHINE_FAULTS =
    listOf(
        Fault("machines hang") { duration -> randomAgents(3).forEach { it.hangingUntilUs = now + random.nextLong(duration) } },
        Fault("machines hang for a moment") { randomAgents(4).forEach { it.hangingUntilUs = now + random.nextLong(SECOND / 2) } },
        Fault("machines die") { randomAgents(4).forEach { remove(it.id) } },
        Fault("machines deaf") { duration ->
            val unreached = randomAgents(4)
            unreached.forEach { it.inboundLost = true }
            after(duration) { unreached.forEach { it.inboundLost = false } }
        },
        Fault("zones cut from each other") { duration ->
            zonesPartitioned = true
            after(duration) { zonesPartitioned = false }
        },
        Fault("zone cut off from everything") { duration ->
            isolatedZone = listOf("north", "south")[random.nextInt(2)]
            after(duration) { isolatedZone = null }
        },
    )

/** Lost, late and duplicated messages, and cancellations at unfavourable moments. */
internal val MESSAGE_FAULTS =
    listOf(
        Fault("machines mute") { duration ->
            val silenced = randomAgents(4)
            silenced.forEach { it.heartbeatsLost = true }
            after(duration) { silenced.forEach { it.heartbeatsLost = false } }
        },
        Fault("late commands") { duration ->
            messageDelays.delayedCommandRate = 200
            after(duration) { messageDelays.delayedCommandRate = 0 }
        },
        Fault("copies of reports for the next leader") { duration ->
            messageDelays.replayRate = 200
            after(duration) { messageDelays.replayRate = 0 }
        },
        Fault("requests executed again") { duration ->
            repeatedRequests.rate = 250
            repeatedRequests.userRate = 250
            after(duration) {
                repeatedRequests.rate = 0
                repeatedRequests.userRate = 0
            }
        },
        Fault("requests executed again when their senders or receivers return") { duration ->
            repeatedRequests.returnRate = 250
            after(duration / 3) { randomNode().crash(random.nextLong(SECOND / 2)) }
            after(duration / 2) { randomAgents(4).forEach { hangForAMoment(it) } }
            after(duration) { repeatedRequests.returnRate = 0 }
        },
        Fault("jobs cancelled at once") { userFaults.cancelNow(count = 5, hangUs = 0) },
        Fault("jobs cancelled at once on machines that hang") { duration -> userFaults.cancelNow(count = 5, hangUs = duration / 2) },
        Fault("jobs cancelled at their end") { duration ->
            userFaults.cancelAtEnd(percent = 50)
            after(duration) { userFaults.cancelAtEnd(percent = 0) }
        },
        Fault("slow links") { duration ->
            linkDelay = { _, _ -> random.nextLong(SECOND / 2) }
            after(duration) { linkDelay = { _, _ -> 0 } }
        },
    )

private fun SimulatedCluster.hangForAMoment(agent: SimulatedAgent) {
    agent.hangingUntilUs = now + random.nextLong(SECOND / 2)
    after(agent.hangingUntilUs - now) { repeatedRequests.onReturn(agent.address) }
}

private fun SimulatedCluster.loseTransactions(
    duration: Micros,
    immediately: Boolean,
) {
    stateStoreFaults.appliesImmediately = immediately
    stateStoreFaults.lossRate = 300
    after(duration) { stateStoreFaults.lossRate = 0 }
}

internal val ALL_FAULTS = CONTROLLER_FAULTS + SERVICE_FAULTS + MACHINE_FAULTS + MESSAGE_FAULTS
