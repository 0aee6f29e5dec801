package mintpick.engine

import mintpick.core.Micros
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event

/** What an [EventLoop] runs: a state machine that takes batches of events and returns effects. Event-loop thread only. */
interface StateMachine {
    /** The answer of `/up` as of the last step. */
    val isUp: Boolean

    /** Why [isUp] is false, as a word for the log; null if it is true. */
    val reasonForDown: String?

    /** Handles [events] in order at the monotonic time [now] and the wall-clock time [wallClockUs], and returns the effects to perform. */
    fun step(
        now: Micros,
        wallClockUs: Micros,
        events: List<Event>,
    ): List<Effect>

    /** Returns a line for the log about what was done since the last call. */
    fun takeReport(): String
}
