package mintpick.core

/**
 * Distinguishes faulty jobs from faulty machines by which tasks end with an error on which machines. Times are microseconds of
 * the steady clock.
 *
 * A job that fails on several machines without ever succeeding is faulty itself: it is retried with exponential backoff,
 * a task at a time, and its errors are not counted against machines. A machine is faulty once several other jobs have failed
 * there. All of it is kept in memory only: a controller that starts anew learns it again within a few retries.
 * Event-loop thread only.
 */
class FailureTracker {
    private class JobFailures {
        /** Where the job has failed, the latest last. */
        val machines = LinkedHashSet<MachineId>()
        var retries = 0
        var retryAtUs: Micros = 0
        var isFaulty = false

        fun add(machine: MachineId) {
            machines -= machine
            machines += machine
            if (machines.size > MAX_MACHINES_PER_JOB) machines.remove(machines.first())
        }
    }

    private val jobs = HashMap<JobId, JobFailures>()

    /** By machine, the jobs that failed there and are not faulty themselves, the latest last. */
    private val failedJobsOn = HashMap<MachineId, LinkedHashSet<JobId>>()

    /**
     * A task of [job] ended with an error on [machine] at [now]; [hasSucceeded] says whether any of the job's tasks ever
     * completed.
     */
    fun recordFailure(
        machine: MachineId,
        job: JobId,
        hasSucceeded: Boolean,
        now: Micros,
    ) {
        val failures = jobs.getOrPut(job) { JobFailures() }
        failures.add(machine)
        // Tasks that were started together and fail together are one retry.
        if (failures.retryAtUs <= now) {
            failures.retries++
            failures.retryAtUs = now + backoff(failures.retries)
        }
        if (!hasSucceeded && failures.machines.size >= FAULTY_JOB_MIN_MACHINES) markFaulty(job, failures)
        if (!failures.isFaulty) failedJobsOn.getOrPut(machine) { LinkedHashSet() } += job
    }

    private fun markFaulty(
        job: JobId,
        failures: JobFailures,
    ) {
        failures.isFaulty = true
        for (machine in failures.machines) removeFailure(machine, job)
    }

    private fun removeFailure(
        machine: MachineId,
        job: JobId,
    ) {
        val failedJobs = failedJobsOn[machine] ?: return
        failedJobs -= job
        if (failedJobs.isEmpty()) failedJobsOn -= machine
    }

    /**
     * A task of [job] completed on [machine], or has been running there for long enough: the job's failures are forgotten,
     * and the oldest one on the machine.
     */
    fun recordSuccess(
        machine: MachineId,
        job: JobId,
    ) {
        jobs -= job
        val oldest = failedJobsOn[machine]?.first() ?: return
        removeFailure(machine, oldest)
    }

    /** Whether any task of [job] has failed since one succeeded. */
    fun hasFailed(job: JobId): Boolean = job in jobs

    /** Whether [job] fails on every machine. */
    fun isFaulty(job: JobId): Boolean = jobs[job]?.isFaulty == true

    /** Whether jobs that succeed on other machines fail on [machine]. */
    fun isFaulty(machine: MachineId): Boolean = (failedJobsOn[machine]?.size ?: 0) >= FAULTY_MACHINE_MIN_JOBS

    /** Jobs that fail on every machine. */
    fun faultyJobs(): List<JobId> = jobs.filterValues { it.isFaulty }.keys.toList()

    /** Machines on which jobs fail that succeed on others. */
    fun faultyMachines(): List<MachineId> = failedJobsOn.keys.filter(::isFaulty)

    /** Whether the backoff of [job] is over at [now]; true for a job without failures. */
    fun mayRetry(
        job: JobId,
        now: Micros,
    ): Boolean = now >= (jobs[job]?.retryAtUs ?: 0)

    /** Machines on which [job] has failed lately, so that a retry there would tell nothing new. */
    fun failedMachines(job: JobId): Set<MachineId> = jobs[job]?.machines.orEmpty()

    /** Drops what is known of jobs that are not open and of machines that are not known any more. */
    fun retain(
        isJobOpen: (JobId) -> Boolean,
        isMachineKnown: (MachineId) -> Boolean,
    ) {
        jobs.keys.removeIf { !isJobOpen(it) }
        failedJobsOn.keys.removeIf { !isMachineKnown(it) }
    }

    companion object {
        /** Jobs that must have failed on a machine for it to be faulty. */
        const val FAULTY_MACHINE_MIN_JOBS = 3

        /** Machines on which a job that never succeeded must have failed for it to be faulty. */
        const val FAULTY_JOB_MIN_MACHINES = 3

        /** Most tasks of a faulty job that may run at once. */
        const val FAULTY_JOB_MAX_TASKS = 1
        private const val MAX_MACHINES_PER_JOB = 4
        private const val FIRST_BACKOFF: Micros = SECOND / 2
        private const val MAX_BACKOFF: Micros = 30 * SECOND
        private const val MAX_DOUBLINGS = 6

        /** How many tasks of a faulty job with [waiting] and [placed] ones may be started now. */
        fun startableTasks(
            waiting: Int,
            placed: Int,
        ): Int = minOf(waiting, maxOf(0, FAULTY_JOB_MAX_TASKS - placed))

        /** The pause before the [retry]th retry, in microseconds. */
        fun backoff(retry: Int): Micros = minOf(MAX_BACKOFF, FIRST_BACKOFF shl minOf(retry - 1, MAX_DOUBLINGS))
    }
}
