package mintpick.engine.cache

import mintpick.wire.StoredStage

/** A job in a final stage, which never changes again. */
data class FinalJob(
    val stage: StoredStage,
    /** Number of tasks of the job. */
    val tasks: Int,
)
