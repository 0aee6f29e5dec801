package mintpick.sim

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.wire.JobAnswer
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.JobStatus
import mintpick.wire.WireJson

/** The world's users: they keep asking, and what they are told goes to the rules. */
internal class Users(
    private val world: World,
) {
    private val rules get() = world.rules

    /** One who submits, repeats until accepted, and polls to the end. */
    fun begin(
        spec: JobSpec,
        cancelAfterUs: Micros?,
    ) {
        // Users name only jobs that were accepted.
        if (!spec.predecessors.orEmpty().all(rules::isAccepted)) {
            world.after(FOLLOW_UP) { begin(spec, cancelAfterUs) }
            return
        }
        rules.submitted(spec, world.now)
        submit(spec)
        if (cancelAfterUs != null) world.after(cancelAfterUs) { cancel(spec.id) }
    }

    private fun submit(spec: JobSpec) {
        ask({ Event.Submit(spec, it) }) { answer ->
            rules.refused(spec.id, answer?.status ?: 0)
            if (answer?.status in listOf(200, 201)) {
                told(spec.id, answer)
                poll(spec.id)
                // Repeats may come at any later time.
                if (world.random.nextInt(3) == 0) world.after(world.random.nextLong(20 * SECOND)) { resubmit(spec) }
            } else {
                world.after(SECOND) { submit(spec) }
            }
        }
    }

    private fun resubmit(spec: JobSpec) {
        val asked = world.now
        ask({ Event.Submit(spec, it) }) { answer ->
            rules.refused(spec.id, answer?.status ?: 0)
            if (answer?.status in listOf(200, 201)) told(spec.id, answer, asked)
        }
    }

    private fun poll(id: String) {
        val asked = world.now
        rules.asked(id, asked)
        ask({ Event.Poll(JobId(id), it) }) { answer ->
            if (answer?.status == 200) rules.answered(id)
            when (answer?.status) {
                200 ->
                    rules.told(
                        id,
                        WireJson.decodeFromString(JobStatus.serializer(), answer.body.decodeToString()).stage,
                        world.now,
                        asked,
                    )
                404 -> rules.told(id, null, world.now, asked)
                else -> Unit
            }
            world.after(2 * SECOND) { poll(id) }
        }
    }

    fun pollUnknown(id: String) = ask({ Event.Poll(JobId(id), it) }) { if (it?.status == 200) rules.told(id, JobStage.QUEUED, world.now) }

    private fun cancel(id: String) {
        if (!rules.isAccepted(id)) return world.after(SECOND) { cancel(id) }
        rules.cancelRequested(id)
        ask({ Event.Cancel(JobId(id), it) }) { answer ->
            if (answer?.status == 200) told(id, answer) else world.after(SECOND) { cancel(id) }
        }
    }

    private fun told(
        id: String,
        answer: Answer?,
        askedUs: Micros = world.now,
    ) {
        val body = answer?.body?.decodeToString() ?: return
        rules.told(id, WireJson.decodeFromString(JobAnswer.serializer(), body).stage, world.now, askedUs)
    }

    private fun ask(
        event: (ReplyTo) -> Event,
        then: (Answer?) -> Unit,
    ) {
        val up = world.nodes.filter { it.engine != null && it.settings.zone != world.zoneOut }
        if (up.isEmpty()) return world.after(SECOND) { then(null) }
        var open = true
        val end: (Answer?) -> Unit = {
            if (open) {
                open = false
                then(it)
            }
        }
        world.after(5 * SECOND) { end(null) }
        val node = up[world.random.nextInt(up.size)]
        world.after(world.delay()) { node.deliver(event(ReplyTo { answer -> world.after(world.delay()) { end(answer) } })) }
    }

    private companion object {
        /** How soon a job of a pipeline follows those that it needs. */
        const val FOLLOW_UP: Micros = SECOND / 50
    }
}

/** Submits [spec] to one controller, once; [then] hears the status of the answer. */
internal fun World.submitTo(
    node: Int,
    spec: JobSpec,
    then: (Int) -> Unit,
) = nodes[node].deliver(Event.Submit(spec, ReplyTo { then(it.status) }))
