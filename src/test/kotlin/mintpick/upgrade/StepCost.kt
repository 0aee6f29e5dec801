package mintpick.upgrade

import java.lang.management.ManagementFactory

/** Processor time of the steps of one engine, on whichever thread they ran. */
internal class StepCost {
    var nanoseconds = 0L
        private set

    fun <T> measure(step: () -> T): T {
        val before = THREADS.currentThreadCpuTime
        try {
            return step()
        } finally {
            nanoseconds += THREADS.currentThreadCpuTime - before
        }
    }

    private companion object {
        val THREADS = ManagementFactory.getThreadMXBean()
    }
}
