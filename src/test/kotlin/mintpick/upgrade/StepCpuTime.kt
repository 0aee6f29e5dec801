package mintpick.upgrade

import java.lang.management.ManagementFactory

/** CPU time of all steps of one engine, measured on the thread that runs each step. */
internal class StepCpuTime {
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
