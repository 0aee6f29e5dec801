package mintpick.soak

import mintpick.core.Micros
import mintpick.core.SECOND
import java.util.SplittableRandom
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Faults of the connection between one controller and the other parties. Written by the schedule of faults, read by the stand-ins. */
internal class ControllerFaults {
    @Volatile var cutFromState = false

    @Volatile var refusedByState = false

    @Volatile var cutFromAgents = false

    /** Thousandths of transactions that are carried out 2 to 6 s late and get no answer. */
    @Volatile var lateTransactions = 0

    /** Thousandths of the state store's answers that are lost. */
    @Volatile var lostAnswers = 0

    /** Thousandths of commands that reach their agent 2 to 8 s late and get no answer. */
    @Volatile var lateCommands = 0

    /** Delay of each answer of the state store, in microseconds. */
    @Volatile var stateDelayUs: Micros = 0

    /** Ends all faults. */
    fun clear() {
        cutFromState = false
        refusedByState = false
        cutFromAgents = false
        lateTransactions = 0
        lostAnswers = 0
        lateCommands = 0
        stateDelayUs = 0
    }
}

/** Runs [task] after [delayUs] on this executor. */
internal fun ScheduledExecutorService.after(
    delayUs: Micros,
    task: () -> Unit,
) {
    if (!isShutdown) schedule(task, delayUs, TimeUnit.MICROSECONDS)
}

/** Whether an event of the given rate, in thousandths, occurs. */
internal fun SplittableRandom.occurs(thousandths: Int): Boolean = thousandths > 0 && synchronized(this) { nextInt(1000) } < thousandths

/** A random time between [min] and [max] seconds, in microseconds. */
internal fun SplittableRandom.seconds(
    min: Int,
    max: Int,
): Micros = synchronized(this) { nextLong(min * SECOND, max * SECOND) }
