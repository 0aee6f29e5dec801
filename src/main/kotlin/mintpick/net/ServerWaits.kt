package mintpick.net

import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

/** How long requests waited for a reader thread and answers for a writer thread, since the last report. Thread-safe. */
class ServerWaits {
    private val requests = LongAdder()
    private val longestReadWaitNs = AtomicLong()
    private val longestWriteWaitNs = AtomicLong()

    /** Records that a reader thread took a request that had waited for [waitedNs] nanoseconds. */
    internal fun recordRead(waitedNs: Long) {
        requests.increment()
        longestReadWaitNs.accumulateAndGet(waitedNs, ::maxOf)
    }

    /** Records that a writer thread took an answer that had waited for [waitedNs] nanoseconds. */
    internal fun recordWrite(waitedNs: Long) {
        longestWriteWaitNs.accumulateAndGet(waitedNs, ::maxOf)
    }

    /** Returns a line for the log with the values since the last call, and resets them. */
    fun takeReport(): String {
        val readMs = TimeUnit.NANOSECONDS.toMillis(longestReadWaitNs.getAndSet(0))
        val writeMs = TimeUnit.NANOSECONDS.toMillis(longestWriteWaitNs.getAndSet(0))
        return "requests=${requests.sumThenReset()} longest_read_wait_ms=$readMs longest_write_wait_ms=$writeMs"
    }
}
