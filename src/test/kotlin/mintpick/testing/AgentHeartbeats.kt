package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.wire.MachineReport
import mintpick.wire.Misdirected
import mintpick.wire.ReportAnswer
import mintpick.wire.WireJson

/** Carries the heartbeats of the agents of [cluster] to its controllers, and the answers back. */
internal class AgentHeartbeats(
    private val cluster: SimulatedCluster,
    private val faultRates: FaultRates,
) {
    /** Sends heartbeats of [agent] to controller [target] and, as it is redirected or not answered, to others, until it is gone. */
    fun heartbeatLoop(
        agent: SimulatedAgent,
        target: Int,
        sinceLastUs: Micros,
    ) {
        if (cluster.agents[agent.id] !== agent) return
        val isDue = sinceLastUs >= 3 * SECOND || (agent.changed && sinceLastUs >= SECOND / 2)
        if (!isDue ||
            cluster.now < agent.hangingUntilUs
        ) {
            return cluster.after(SimulatedCluster.SERVICE_TICK) {
                heartbeatLoop(
                    agent,
                    target,
                    sinceLastUs + SimulatedCluster.SERVICE_TICK,
                )
            }
        }
        sendHeartbeat(agent, target)
    }

    private fun sendHeartbeat(
        agent: SimulatedAgent,
        target: Int,
    ) {
        val node = cluster.nodes[target]
        val message = agent.heartbeat(cluster.now)
        val sent = cluster.now
        cluster.messageDelays.heartbeatSent(message)
        if (message.tasks.size > TASKS_TO_MEASURE) {
            cluster.checkSize("heartbeat", WireJson.encodeToString(MachineReport.serializer(), message).length)
        }
        if (cluster.occurs(faultRates.duplicated)) {
            cluster.after(2 * SECOND + cluster.random.nextLong(58 * SECOND)) {
                cluster.deliverDuplicate(message, cluster.nodes[cluster.random.nextInt(cluster.nodes.size)])
            }
        }
        var pending = true
        val next: (Int, Micros) -> Unit = { to, pause ->
            if (pending) {
                pending = false
                cluster.after(pause) { heartbeatLoop(agent, to, 3 * SECOND) }
            }
        }
        cluster.after(4 * SECOND) { next((target + 1) % cluster.nodes.size, SECOND) }
        if (agent.heartbeatsLost ||
            node.cutFromAgents ||
            ((cluster.zonesPartitioned || cluster.isolatedZone != null) && node.settings.zone != agent.zone) ||
            cluster.occurs(faultRates.lost)
        ) {
            return
        }
        val travel = if (cluster.occurs(faultRates.late)) 5 * SECOND + cluster.random.nextLong(10 * SECOND) else cluster.networkDelay()
        cluster.after(travel) {
            val delivered =
                node.deliver(
                    Event.Report(
                        message,
                        ReplyTo { answer ->
                            if (agent.inboundLost) {
                                recordMissedStarts(agent, answer)
                            } else if (!cluster.occurs(faultRates.lostAnswer)) {
                                cluster.after(cluster.networkDelay()) {
                                    if (pending && cluster.agents[agent.id] === agent && cluster.now >= agent.hangingUntilUs) {
                                        pending = false
                                        handleHeartbeatAnswer(agent, target, message.agentEpoch, sent, answer)
                                    }
                                }
                            }
                        },
                    ),
                )
            if (!delivered) next((target + 1) % cluster.nodes.size, SECOND)
        }
    }

    private fun recordMissedStarts(
        agent: SimulatedAgent,
        answer: Answer,
    ) {
        if (answer.status ==
            200
        ) {
            agent.recordMissedStarts(
                WireJson.decodeFromString(ReportAnswer.serializer(), answer.body.decodeToString()).commands,
                cluster.now,
            )
        }
    }

    private fun handleHeartbeatAnswer(
        agent: SimulatedAgent,
        target: Int,
        agentEpoch: Long,
        sentUs: Micros,
        answer: Answer,
    ) {
        when (answer.status) {
            200 -> {
                cluster.checkSize("answer to a heartbeat", answer.body.size)
                val body = WireJson.decodeFromString(ReportAnswer.serializer(), answer.body.decodeToString())
                agent.tick(cluster.now)
                agent.handleHeartbeatAnswer(agentEpoch, sentUs, body.token, body.commands, cluster.now)
                cluster.after(SimulatedCluster.SERVICE_TICK) { heartbeatLoop(agent, target, SimulatedCluster.SERVICE_TICK) }
            }
            421 -> {
                val to = WireJson.decodeFromString(Misdirected.serializer(), answer.body.decodeToString()).controller
                val index = cluster.nodes.indexOfFirst { it.settings.node == to }
                if (index < 0 || index == target) {
                    cluster.after(SECOND) { heartbeatLoop(agent, (target + 1) % cluster.nodes.size, 3 * SECOND) }
                } else {
                    cluster.after(cluster.random.nextLong(SECOND / 2)) { heartbeatLoop(agent, index, 3 * SECOND) }
                }
            }
            else -> cluster.after(SECOND) { heartbeatLoop(agent, (target + 1) % cluster.nodes.size, 3 * SECOND) }
        }
    }

    private companion object {
        /** Fewer tasks always fit into a heartbeat. */
        const val TASKS_TO_MEASURE = 300
    }
}
