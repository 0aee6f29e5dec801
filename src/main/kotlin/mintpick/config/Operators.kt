package mintpick.config

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.core.ShareNode

/**
 * Checked settings of the operators, with their defaults. Read once when the process starts. Durations are in microseconds here
 * and in seconds in the file ([OperatorsFile]).
 */
data class Operators(
    /** Length of the sliding window over which a team's resource use counts towards its fair share. */
    val windowUs: Micros = DEFAULT_WINDOW,
    /** Length of one time slot of that window. Not configurable in the file. */
    val slotUs: Micros = SLOT,
    /** Upper bound on the time for which a task within its team's share is protected from preemption. */
    val minimumRuntimeCapUs: Micros = DEFAULT_MINIMUM_RUNTIME_CAP,
    /** Interval at which a controller stores a summary of its teams' use. */
    val summaryEveryUs: Micros = DEFAULT_SUMMARY_EVERY,
    /** Fraction of the recent peak of batch work for which machines are kept. */
    val batchHeadroom: Double = 0.85,
    /** Length of the period over which that peak is determined. */
    val batchMemoryUs: Micros = DEFAULT_BATCH_MEMORY,
    /** Capacity kept free for services in each zone, as a fraction of the capacity that they use there. */
    val serviceHeadroom: Double = 0.06,
    /** Time for which a machine must be without work before it is scaled in. */
    val idleUs: Micros = DEFAULT_IDLE,
    /**
     * Non-spot machines are rented also for work that may run on spot machines, if it would otherwise be queued for longer than
     * this fraction of the completion time expected for its job class.
     */
    val queuePart: Double = 0.3,
    /**
     * Penalty for large jobs: within its team, a job is queued as if it had been submitted later by this factor times the run time
     * of its remaining work on the whole cluster.
     */
    val sizeHandicap: Double = 4.0,
    /** Number of candidates that are compared when a job is placed. */
    val placementSample: Int = 32,
    /** The fair-share tree, or null for a flat tree with one branch per team. */
    val shares: ShareNode.Group? = null,
) {
    private companion object {
        private const val DEFAULT_WINDOW: Micros = 3600 * SECOND
        private const val SLOT: Micros = 60 * SECOND
        private const val DEFAULT_MINIMUM_RUNTIME_CAP: Micros = 600 * SECOND
        private const val DEFAULT_SUMMARY_EVERY: Micros = 5 * SECOND
        private const val DEFAULT_BATCH_MEMORY: Micros = 60 * SECOND
        private const val DEFAULT_IDLE: Micros = 20 * SECOND
    }
}
