package mintpick.sim

import mintpick.core.Micros
import mintpick.core.SECOND

/** A kind of trouble that days may combine. It begins when called and ends by itself after about the given span. */
internal class Trouble(
    val name: String,
    val begin: World.(Micros) -> Unit,
)

internal fun World.anyNode(): World.Node = nodes[random.nextInt(nodes.size)]

/** About one in [part] of the workers. */
internal fun World.someWorkers(part: Int): List<SimWorker> = workers.values.filter { random.nextInt(part) == 0 }

/** Begins one of [kinds] for between [least] and [most]; returns its name. */
internal fun World.draw(
    kinds: List<Trouble>,
    least: Micros,
    most: Micros,
): String {
    val trouble = kinds[random.nextInt(kinds.size)]
    val span = least + random.nextLong(most - least)
    trouble.begin(this, span)
    return trouble.name
}

/** Troubles of controllers: ends, restarts and what each can reach. */
internal val CONTROLLER_TROUBLES =
    listOf(
        Trouble("controller ends") { span -> anyNode().crash(span / 4) },
        Trouble("controller is back within a moment") { anyNode().crash(random.nextLong(SECOND / 2)) },
        Trouble("all controllers end") { span -> nodes.forEach { it.crash(SECOND + random.nextLong(span / 4)) } },
        Trouble("all controllers are back within a moment") { nodes.forEach { it.crash(random.nextLong(SECOND)) } },
        Trouble("controller stands still") { span -> anyNode().pauseProcess(span) },
        Trouble("controllers end one after the other") { span ->
            nodes.forEachIndexed { i, node -> after(i * span / 3) { node.crash(SECOND) } }
        },
        Trouble("controller without state service") { span ->
            val node = anyNode()
            node.cutFromState = true
            after(span) { node.cutFromState = false }
        },
        Trouble("controller without workers") { span ->
            val node = anyNode()
            node.cutFromWorkers = true
            after(span) { node.cutFromWorkers = false }
        },
        Trouble("controller without state service and peers") { span ->
            val node = anyNode()
            node.cutFromState = true
            node.cutFromPeers = true
            after(span) {
                node.cutFromState = false
                node.cutFromPeers = false
            }
        },
        Trouble("controllers do not hear each other") { span ->
            nodes.forEach { it.cutFromPeers = true }
            after(span) { nodes.forEach { it.cutFromPeers = false } }
        },
    )

/** Troubles of the state service and of the cloud. */
internal val SERVICE_TROUBLES =
    listOf(
        Trouble("state service out") { span ->
            state.out = true
            after(span) { state.out = false }
        },
        Trouble("controllers restart in an outage") { span ->
            state.out = true
            after(span / 3) { nodes.forEach { it.crash(random.nextLong(SECOND / 3)) } }
            after(span) { state.out = false }
        },
        Trouble("state service refuses one controller, then everybody") { span ->
            stateTroubles.refused = anyNode()
            after(span / 4) { state.out = true }
            after(span / 2) { stateTroubles.refused = null }
            after(span) { state.out = false }
        },
        Trouble("late writes") { span -> loseWrites(span, atOnce = false) },
        Trouble("lost answers to writes") { span -> loseWrites(span, atOnce = true) },
        Trouble("state service slow") { span ->
            stateTroubles.slow = 300
            after(span) { stateTroubles.slow = 0 }
        },
        Trouble("cloud out") { span ->
            cloud.out = true
            after(span) { cloud.out = false }
        },
    )

/** Troubles of machines and of whole zones. */
internal val MACHINE_TROUBLES =
    listOf(
        Trouble("machines hang") { span -> someWorkers(3).forEach { it.hangingUntilUs = now + random.nextLong(span) } },
        Trouble("machines hang for a moment") { someWorkers(4).forEach { it.hangingUntilUs = now + random.nextLong(SECOND / 2) } },
        Trouble("machines die") { someWorkers(4).forEach { remove(it.id) } },
        Trouble("machines deaf") { span ->
            val deaf = someWorkers(4)
            deaf.forEach { it.deaf = true }
            after(span) { deaf.forEach { it.deaf = false } }
        },
        Trouble("zones cut from each other") { span ->
            zonesCut = true
            after(span) { zonesCut = false }
        },
        Trouble("zone cut off from everything") { span ->
            zoneOut = listOf("north", "south")[random.nextInt(2)]
            after(span) { zoneOut = null }
        },
    )

/** Troubles of what workers, controllers and users tell each other. */
internal val MESSAGE_TROUBLES =
    listOf(
        Trouble("machines mute") { span ->
            val mute = someWorkers(4)
            mute.forEach { it.mute = true }
            after(span) { mute.forEach { it.mute = false } }
        },
        Trouble("late commands") { span ->
            delays.lateCommands = 200
            after(span) { delays.lateCommands = 0 }
        },
        Trouble("copies of reports for the next leader") { span ->
            delays.keptForNext = 200
            after(span) { delays.keptForNext = 0 }
        },
        Trouble("jobs cancelled at once") { userTroubles.cancelNow(count = 5, hangUs = 0) },
        Trouble("jobs cancelled at once on machines that hang") { span -> userTroubles.cancelNow(count = 5, hangUs = span / 2) },
        Trouble("jobs cancelled at their end") { span ->
            userTroubles.cancelAtEnd(percent = 50)
            after(span) { userTroubles.cancelAtEnd(percent = 0) }
        },
        Trouble("slow links") { span ->
            linkDelay = { _, _ -> random.nextLong(SECOND / 2) }
            after(span) { linkDelay = { _, _ -> 0 } }
        },
    )

private fun World.loseWrites(
    span: Micros,
    atOnce: Boolean,
) {
    stateTroubles.atOnce = atOnce
    stateTroubles.lost = 300
    after(span) { stateTroubles.lost = 0 }
}

internal val ALL_TROUBLES = CONTROLLER_TROUBLES + SERVICE_TROUBLES + MACHINE_TROUBLES + MESSAGE_TROUBLES
