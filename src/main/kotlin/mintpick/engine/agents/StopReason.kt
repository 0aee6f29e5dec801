package mintpick.engine.agents

/** Reason why an attempt is stopped, and not started again, although its job is open. */
enum class StopReason {
    /** The attempt is preempted for another job. */
    PREEMPTED,

    /** A transaction that requeues the attempt is in flight. */
    REQUEUE_SENT,

    /** The outcome of a transaction that requeues the attempt is unknown, so it may be committed at any later time. */
    REQUEUE_OUTCOME_UNKNOWN,
}
