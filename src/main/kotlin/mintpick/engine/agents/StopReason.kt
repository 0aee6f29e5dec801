package mintpick.engine.agents

/** Why an attempt is stopped, and not started again, although its job is open. */
enum class StopReason {
    /** It makes room for another job. */
    PREEMPTED,

    /** A transaction that requeues it is under way. */
    REQUEUE_SENT,

    /** The outcome of a transaction that requeues it is unknown: it may be committed at any later time. */
    REQUEUE_OUTCOME_UNKNOWN,
}
