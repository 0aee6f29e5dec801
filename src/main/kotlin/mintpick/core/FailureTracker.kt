package mintpick.core

/**
 * Distinguishes faulty jobs from faulty machines by recording which jobs fail on which machines.
 *
 * A job that fails on several machines without ever succeeding is faulty. It is retried with exponential backoff, one task at a
 * time, and its failures are not counted against machines. A machine is faulty if several jobs that are not faulty have failed
 * on it. The data is kept in memory only: a restarted controller collects it again within a few retries. Times are microseconds
 * of the monotonic clock. Event-loop thread only.
 */
class FailureTracker {
    private class JobFailures {
        /** When the job last failed on each machine, the latest last. */
        val failedAtUs = LinkedHashMap<MachineId, Micros>()
        val machines: Set<MachineId> get() = failedAtUs.keys
        var retries = 0
        var retryAtUs: Micros = 0
        var isFaulty = false

        fun add(
            machine: MachineId,
            now: Micros,
        ) {
            failedAtUs.remove(machine)
            failedAtUs[machine] = now
            if (failedAtUs.size > MAX_MACHINES_PER_JOB) failedAtUs.remove(failedAtUs.keys.first())
        }
    }

    private val jobs = HashMap<JobId, JobFailures>()

    /** By machine, the jobs that failed on it and are not faulty, the latest last. */
    private val failedJobsOn = HashMap<MachineId, LinkedHashSet<JobId>>()

    /**
     * Records that a task of [job] failed on [machine] at [now]. [hasSucceeded] is whether any task of the job has ever completed.
     */
    fun recordFailure(
        machine: MachineId,
        job: JobId,
        hasSucceeded: Boolean,
        now: Micros,
    ) {
        val failures = jobs.getOrPut(job) { JobFailures() }
        failures.add(machine, now)
        // Tasks that are started together and fail together count as one retry.
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
     * Records that a task of [job] completed on [machine], or has been running there long enough. Clears all failures of the job
     * and the oldest failure on the machine.
     */
    fun recordSuccess(
        machine: MachineId,
        job: JobId,
    ) {
        jobs -= job
        val oldest = failedJobsOn[machine]?.first() ?: return
        removeFailure(machine, oldest)
    }

    /** Removes all failures of [job], which runs now. */
    fun forget(job: JobId) {
        val failures = jobs.remove(job) ?: return
        for (machine in failures.machines) removeFailure(machine, job)
    }

    /** Whether any task of [job] has failed since the last success. */
    fun hasFailed(job: JobId): Boolean = job in jobs

    /** Whether [job] is faulty: it fails on every machine. */
    fun isFaulty(job: JobId): Boolean = jobs[job]?.isFaulty == true

    /** Whether [machine] is faulty: several jobs that are not faulty fail on it. */
    fun isFaulty(machine: MachineId): Boolean = (failedJobsOn[machine]?.size ?: 0) >= FAULTY_MACHINE_MIN_JOBS

    /** All faulty jobs. */
    fun faultyJobs(): List<JobId> = jobs.filterValues { it.isFaulty }.keys.toList()

    /** All faulty machines. */
    fun faultyMachines(): List<MachineId> = failedJobsOn.keys.filter(::isFaulty)

    /** Whether the backoff of [job] is over at [now]; true for a job without failures. */
    fun mayRetry(
        job: JobId,
        now: Micros,
    ): Boolean = now >= (jobs[job]?.retryAtUs ?: 0)

    /**
     * Machines on which [job] has failed within [EXCLUSION_PERIOD] before [now]. A retry on one of them would give no new information,
     * until the machine may have been repaired.
     */
    fun failedMachines(
        job: JobId,
        now: Micros,
    ): Set<MachineId> {
        val failedAtUs = jobs[job]?.failedAtUs ?: return emptySet()
        return failedAtUs.filterValues { now - it < EXCLUSION_PERIOD }.keys
    }

    /** Removes the data of jobs that are not open and of machines that are no longer known. */
    fun retain(
        isJobOpen: (JobId) -> Boolean,
        isMachineKnown: (MachineId) -> Boolean,
    ) {
        jobs.keys.removeIf { !isJobOpen(it) }
        failedJobsOn.keys.removeIf { !isMachineKnown(it) }
    }

    companion object {
        /** Number of jobs that must have failed on a machine before it counts as faulty. */
        const val FAULTY_MACHINE_MIN_JOBS = 3

        /** Number of machines on which a job that never succeeded must have failed before it counts as faulty. */
        const val FAULTY_JOB_MIN_MACHINES = 3

        /** Maximum number of tasks of a faulty job that run at the same time. */
        const val FAULTY_JOB_MAX_TASKS = 1
        private const val MAX_MACHINES_PER_JOB = 4

        /** For how long after a failure no task of the job is placed on the machine, as long as the longest backoff. */
        const val EXCLUSION_PERIOD: Micros = 30 * SECOND
        private const val FIRST_BACKOFF: Micros = SECOND / 2
        private const val MAX_BACKOFF: Micros = 30 * SECOND
        private const val MAX_DOUBLINGS = 6

        /** How many tasks of a faulty job may be started now, given its numbers of [waiting] and [placed] tasks. */
        fun startableTasks(
            waiting: Int,
            placed: Int,
        ): Int = minOf(waiting, maxOf(0, FAULTY_JOB_MAX_TASKS - placed))

        /** The delay before retry number [retry], counted from 1. */
        fun backoff(retry: Int): Micros = minOf(MAX_BACKOFF, FIRST_BACKOFF shl minOf(retry - 1, MAX_DOUBLINGS))
    }
}
