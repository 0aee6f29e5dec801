package mintpick.testing

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
internal class SimulatedUsers(
    private val cluster: SimulatedCluster,
) {
    private val rules get() = cluster.rules

    /** One who submits, repeats until accepted, and polls to the end. */
    fun begin(
        spec: JobSpec,
        cancelAfterUs: Micros?,
    ) {
        // Users name only jobs that were accepted.
        if (!spec.predecessors.orEmpty().all(rules::isAccepted)) {
            cluster.after(FOLLOW_UP) { begin(spec, cancelAfterUs) }
            return
        }
        rules.submitted(spec, cluster.now)
        submit(spec)
        if (cancelAfterUs != null) cluster.after(cancelAfterUs) { cancel(spec.id) }
    }

    private fun submit(spec: JobSpec) {
        ask({ Event.Submit(spec, it) }) { answer ->
            rules.refused(spec.id, answer?.status ?: 0)
            if (answer?.status in listOf(200, 201)) {
                told(spec.id, answer)
                poll(spec.id)
                // Repeats may come at any later time.
                if (cluster.random.nextInt(3) == 0) cluster.after(cluster.random.nextLong(20 * SECOND)) { resubmit(spec) }
            } else {
                cluster.after(SECOND) { submit(spec) }
            }
        }
    }

    private fun resubmit(spec: JobSpec) {
        val asked = cluster.now
        ask({ Event.Submit(spec, it) }) { answer ->
            rules.refused(spec.id, answer?.status ?: 0)
            if (answer?.status in listOf(200, 201)) told(spec.id, answer, asked)
        }
    }

    private fun poll(id: String) {
        val asked = cluster.now
        rules.asked(id, asked)
        ask({ Event.Poll(JobId(id), it) }) { answer ->
            if (answer?.status == 200) rules.answered(id)
            when (answer?.status) {
                200 ->
                    rules.told(
                        id,
                        WireJson.decodeFromString(JobStatus.serializer(), answer.body.decodeToString()).stage,
                        cluster.now,
                        asked,
                    )
                404 -> rules.told(id, null, cluster.now, asked)
                else -> Unit
            }
            cluster.after(2 * SECOND) { poll(id) }
        }
    }

    fun pollUnknown(id: String) = ask({ Event.Poll(JobId(id), it) }) { if (it?.status == 200) rules.told(id, JobStage.QUEUED, cluster.now) }

    private fun cancel(id: String) {
        if (!rules.isAccepted(id)) return cluster.after(SECOND) { cancel(id) }
        rules.cancelRequested(id)
        ask({ Event.Cancel(JobId(id), it) }) { answer ->
            if (answer?.status == 200) told(id, answer) else cluster.after(SECOND) { cancel(id) }
        }
    }

    private fun told(
        id: String,
        answer: Answer?,
        askedUs: Micros = cluster.now,
    ) {
        val body = answer?.body?.decodeToString() ?: return
        rules.told(id, WireJson.decodeFromString(JobAnswer.serializer(), body).stage, cluster.now, askedUs)
    }

    private fun ask(
        event: (ReplyTo) -> Event,
        then: (Answer?) -> Unit,
    ) {
        val up = cluster.nodes.filter { it.engine != null && it.settings.zone != cluster.zoneOut }
        if (up.isEmpty()) return cluster.after(SECOND) { then(null) }
        var open = true
        val end: (Answer?) -> Unit = {
            if (open) {
                open = false
                then(it)
            }
        }
        cluster.after(5 * SECOND) { end(null) }
        val node = up[cluster.random.nextInt(up.size)]
        cluster.after(cluster.delay()) { node.deliver(event(ReplyTo { answer -> cluster.after(cluster.delay()) { end(answer) } })) }
    }

    private companion object {
        /** How soon a job of a pipeline follows those that it needs. */
        const val FOLLOW_UP: Micros = SECOND / 50
    }
}

/** Submits [spec] to one controller, once; [then] hears the status of the answer. */
internal fun SimulatedCluster.submitTo(
    node: Int,
    spec: JobSpec,
    then: (Int) -> Unit,
) = nodes[node].deliver(Event.Submit(spec, ReplyTo { then(it.status) }))
