package mintpick.config

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.core.ShareNode

/**
 * The operators' own settings with their defaults, read once when the process starts. Durations are in microseconds; the
 * file ([OperatorsFile]) gives them in seconds.
 */
data class Operators(
    /** How far back a team's use counts for its fair share. */
    val windowUs: Micros = DEFAULT_WINDOW,
    /** Length of one time slot of that window; the file can't change it. */
    val slotUs: Micros = SLOT,
    /** Longest time for which a task within its team's share is protected from preemption. */
    val minimumRuntimeCapUs: Micros = DEFAULT_MINIMUM_RUNTIME_CAP,
    /** How often a controller stores the summary of its teams' use. */
    val summaryEveryUs: Micros = DEFAULT_SUMMARY_EVERY,
    /** Part of the recent peak of batch work for which machines are kept. */
    val batchHeadroom: Double = 0.85,
    /** How far back that peak is determined. */
    val batchMemoryUs: Micros = DEFAULT_BATCH_MEMORY,
    /** Capacity kept free for services, as a part of what they use, in each zone. */
    val serviceHeadroom: Double = 0.06,
    /** How long a machine stays without work before it is scaled in. */
    val idleUs: Micros = DEFAULT_IDLE,
    /** Ordinary machines are rented for spot work that would queue for longer than this part of its class's expected time. */
    val queuePart: Double = 0.3,
    /** By how many times its own run time on the whole cluster a job falls back behind smaller ones of its team. */
    val sizeHandicap: Double = 4.0,
    /** How many machines with room are compared for one job. */
    val placementSample: Int = 32,
    /** The budget tree, or null for one branch for each team. */
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
