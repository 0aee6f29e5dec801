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

/** Simulates users who poll their jobs, and passes the answers to the [RuleChecker]. */
internal class SimulatedUsers(
    private val cluster: SimulatedCluster,
) {
    private val rules get() = cluster.rules

    /** Submits [spec] until it is accepted, then polls it, and cancels it after [cancelAfterUs] if not null. */
    fun submitAndPoll(
        spec: JobSpec,
        cancelAfterUs: Micros?,
    ) {
        // Users name only accepted jobs as predecessors.
        if (!spec.predecessors.orEmpty().all(rules::isAccepted)) {
            cluster.after(PREDECESSOR_POLL) { submitAndPoll(spec, cancelAfterUs) }
            return
        }
        rules.submitted(spec, cluster.now)
        submit(spec)
        if (cancelAfterUs != null) cluster.after(cancelAfterUs) { cancel(spec.id) }
    }

    private fun submit(spec: JobSpec) {
        send({ Event.Submit(spec, it) }) { answer ->
            rules.requestRefused(spec.id, answer?.status ?: 0)
            if (answer?.status in listOf(200, 201)) {
                recordStage(spec.id, answer)
                poll(spec.id)
                // Duplicates of a submission may arrive at any later time.
                if (cluster.random.nextInt(3) == 0) cluster.after(cluster.random.nextLong(20 * SECOND)) { resubmit(spec) }
            } else {
                cluster.after(SECOND) { submit(spec) }
            }
        }
    }

    private fun resubmit(spec: JobSpec) {
        val requestedUs = cluster.now
        send({ Event.Submit(spec, it) }) { answer ->
            rules.requestRefused(spec.id, answer?.status ?: 0)
            if (answer?.status in listOf(200, 201)) recordStage(spec.id, answer, requestedUs)
        }
    }

    private fun poll(id: String) {
        val requestedUs = cluster.now
        rules.polled(id, requestedUs)
        send({ Event.Poll(JobId(id), it) }) { answer ->
            if (answer?.status == 200) rules.pollAnswered(id)
            when (answer?.status) {
                200 ->
                    rules.jobAnswered(
                        id,
                        WireJson.decodeFromString(JobStatus.serializer(), answer.body.decodeToString()).stage,
                        cluster.now,
                        requestedUs,
                    )
                404 -> rules.jobAnswered(id, null, cluster.now, requestedUs)
                else -> Unit
            }
            cluster.after(2 * SECOND) { poll(id) }
        }
    }

    /** Polls a job that was never submitted, which must not be found. */
    fun pollUnknownJob(id: String) =
        send({ Event.Poll(JobId(id), it) }) { if (it?.status == 200) rules.jobAnswered(id, JobStage.QUEUED, cluster.now) }

    private fun cancel(id: String) {
        if (!rules.isAccepted(id)) return cluster.after(SECOND) { cancel(id) }
        rules.cancelRequested(id)
        send({ Event.Cancel(JobId(id), it) }) { answer ->
            if (answer?.status == 200) recordStage(id, answer) else cluster.after(SECOND) { cancel(id) }
        }
    }

    private fun recordStage(
        id: String,
        answer: Answer?,
        requestedUs: Micros = cluster.now,
    ) {
        val body = answer?.body?.decodeToString() ?: return
        rules.jobAnswered(id, WireJson.decodeFromString(JobAnswer.serializer(), body).stage, cluster.now, requestedUs)
    }

    private fun send(
        event: (ReplyTo) -> Event,
        then: (Answer?) -> Unit,
    ) {
        val reachable = cluster.nodes.filter { it.engine != null && it.settings.zone != cluster.isolatedZone }
        if (reachable.isEmpty()) return cluster.after(SECOND) { then(null) }
        var pending = true
        val complete: (Answer?) -> Unit = {
            if (pending) {
                pending = false
                then(it)
            }
        }
        cluster.after(5 * SECOND) { complete(null) }
        val node = reachable[cluster.random.nextInt(reachable.size)]
        val reply =
            ReplyTo { answer ->
                cluster.after(cluster.networkDelay()) { complete(answer) }
                cluster.repeatedRequests.onUserAnswered { node.deliver(event(ReplyTo { })) }
            }
        cluster.after(cluster.networkDelay()) { node.deliver(event(reply)) }
    }

    private companion object {
        /** Interval of checks whether all predecessors are accepted. */
        const val PREDECESSOR_POLL: Micros = SECOND / 50
    }
}

/** Submits [spec] to controller [node] once; [then] receives the status of the answer. */
internal fun SimulatedCluster.submitTo(
    node: Int,
    spec: JobSpec,
    then: (Int) -> Unit,
) = nodes[node].deliver(Event.Submit(spec, ReplyTo { then(it.status) }))
