package mintpick.engine

import mintpick.core.MILLI
import mintpick.core.Micros

/**
 * How many heartbeats one step may handle, so that steps stay short however slow the processor is at present: the classes of a process
 * that has just started are not compiled yet, and its peers may leave it all agents at once. The limit is halved after a long step and
 * doubled after a short one that used it up. Event-loop thread only.
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
        if (durationUs > TARGET_STEP) {
            current = maxOf(MIN_HEARTBEATS, current / 2)
        } else if (heartbeats >= current) {
            current = minOf(EventQueue.MAX_HEARTBEATS, current * 2)
        }
    }

    private companion object {
        /** Users wait for a poll for 2 s, which needs two steps and a call to the state store between them. */
        const val TARGET_STEP: Micros = 500 * MILLI

        /** Below this, the fixed part of a step would use up the processor. */
        const val MIN_HEARTBEATS = 32
    }
}
