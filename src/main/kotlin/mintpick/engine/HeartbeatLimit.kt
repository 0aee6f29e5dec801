package mintpick.engine

import mintpick.core.MILLI
import mintpick.core.Micros

/**
 * How many heartbeats one step may handle, so that steps stay short however slow the processor is at present: the classes of a process
 * that has just started are not compiled yet, and its peers may leave it all agents at once. After a step that used the limit up, it is
 * halved if the step was long and doubled if not; any other step was long for other reasons. Event-loop thread only.
 */
internal class HeartbeatLimit {
    /** The limit for the next step. */
    var current: Int = EventQueue.MAX_HEARTBEATS
        private set

    /** Adapts the limit after a step of [durationUs] that handled [heartbeats] heartbeats. */
    fun onStep(
        durationUs: Micros,
        heartbeats: Int,
    ) {
        if (heartbeats < current) return
        current = if (durationUs > TARGET_STEP) maxOf(MIN_HEARTBEATS, current / 2) else minOf(EventQueue.MAX_HEARTBEATS, current * 2)
    }

    private companion object {
        /** Users wait for a poll for 2 s, which needs two steps and a call to the state store between them. */
        const val TARGET_STEP: Micros = 500 * MILLI

        /** Below this, the fixed part of a step would use up the processor. */
        const val MIN_HEARTBEATS = 32
    }
}
