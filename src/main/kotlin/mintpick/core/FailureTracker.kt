package mintpick.core

/**
 * Tells faulty jobs from faulty machines by which tasks end with an error where.
 *
 * A job that fails on several machines without ever succeeding is at fault itself: it is retried with exponential backoff,
 * a task at a time, and its errors are not held against machines. A machine is faulty once several other jobs have failed
 * there. All of it is kept in memory only: a controller that starts anew learns it again within a few retries.
 */
class FailureTracker {
    private class JobFailures {
        /** Where the job has failed, the latest last. */
        val machines = LinkedHashSet<MachineId>()
        var retries = 0
        var retryAtUs: Micros = 0
        var isFaulty = false
    }

    private val jobs = HashMap<JobId, JobFailures>()

    /** By machine, the jobs that failed there and are not faulty themselves, the latest last. */
    private val blamedBy = HashMap<MachineId, LinkedHashSet<JobId>>()

    /** A task of [job] ended with an error on [machine]; [hasSucceeded] tells whether any of the job's tasks ever completed. */
    fun failed(
        machine: MachineId,
        job: JobId,
        hasSucceeded: Boolean,
        now: Micros,
    ) {
        val failures = jobs.getOrPut(job) { JobFailures() }
        failures.machines -= machine
        failures.machines += machine
        if (failures.machines.size > MACHINES_KEPT) failures.machines.remove(failures.machines.first())
        // Tasks that were started together and fail together are one retry.
        if (failures.retryAtUs <= now) failures.retryAtUs = now + backoff(++failures.retries)
        if (!hasSucceeded && failures.machines.size >= MACHINES_TO_BLAME_JOB) blameJob(job, failures)
        if (!failures.isFaulty) blamedBy.getOrPut(machine) { LinkedHashSet() } += job
    }

    private fun blameJob(
        job: JobId,
        failures: JobFailures,
    ) {
        failures.isFaulty = true
        for (machine in failures.machines) absolve(machine, job)
    }

    private fun absolve(
        machine: MachineId,
        job: JobId,
    ) {
        val blaming = blamedBy[machine] ?: return
        blaming -= job
        if (blaming.isEmpty()) blamedBy -= machine
    }

    /** A task of [job] completed on [machine], or has been running there for long enough. */
    fun succeeded(
        machine: MachineId,
        job: JobId,
    ) {
        jobs -= job
        blamedBy[machine]?.let { absolve(machine, it.first()) }
    }

    /** Whether any task of [job] has failed since one succeeded. */
    fun hasFailed(job: JobId): Boolean = job in jobs

    /** Whether [job] fails wherever it runs. */
    fun isFaulty(job: JobId): Boolean = jobs[job]?.isFaulty == true

    /** Whether jobs that succeed elsewhere fail on [machine]. */
    fun isFaulty(machine: MachineId): Boolean = (blamedBy[machine]?.size ?: 0) >= JOBS_TO_BLAME_MACHINE

    /** Jobs that fail wherever they run. */
    fun faultyJobs(): List<JobId> = jobs.filterValues { it.isFaulty }.keys.toList()

    /** Machines that are faulty. */
    fun faultyMachines(): List<MachineId> = blamedBy.keys.filter(::isFaulty)

    /** Whether the backoff of [job] is over. */
    fun mayRetry(
        job: JobId,
        now: Micros,
    ): Boolean = now >= (jobs[job]?.retryAtUs ?: 0)

    /** Where a retry of [job] would tell nothing new. */
    fun triedOn(job: JobId): Set<MachineId> = jobs[job]?.machines.orEmpty()

    /** Drops what is known of jobs and machines that are gone. */
    fun retain(
        isJobOpen: (JobId) -> Boolean,
        isMachineKnown: (MachineId) -> Boolean,
    ) {
        jobs.keys.removeIf { !isJobOpen(it) }
        blamedBy.keys.removeIf { !isMachineKnown(it) }
    }

    companion object {
        const val JOBS_TO_BLAME_MACHINE = 3
        const val MACHINES_TO_BLAME_JOB = 3

        /** Tasks of a faulty job that may run at once. */
        const val FAULTY_TASKS = 1
        private const val MACHINES_KEPT = 4
        private const val FIRST_BACKOFF: Micros = SECOND / 2
        private const val MOST_BACKOFF: Micros = 30 * SECOND
        private const val MAX_DOUBLINGS = 6

        /** How many tasks of a faulty job with [waiting] and [placed] ones may be started now. */
        fun probes(
            waiting: Int,
            placed: Int,
        ): Int = minOf(waiting, maxOf(0, FAULTY_TASKS - placed))

        /** The pause before the [retry]th retry, in microseconds. */
        fun backoff(retry: Int): Micros = minOf(MOST_BACKOFF, FIRST_BACKOFF shl minOf(retry - 1, MAX_DOUBLINGS))
    }
}
