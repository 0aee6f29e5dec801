package mintpick.engine.cache

import mintpick.wire.StoredStage

/** A job in a final stage, which no further change can follow. */
data class FinalJob(
    val stage: StoredStage,
    /** How many tasks it has. */
    val tasks: Int,
)
