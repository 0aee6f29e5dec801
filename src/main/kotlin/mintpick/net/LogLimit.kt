package mintpick.net

import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Lets one log line through in each interval of [intervalS] seconds, and counts the others. For any thread. */
internal class LogLimit(
    intervalS: Long,
    private val nowNs: () -> Long = System::nanoTime,
) {
    private val intervalNs = TimeUnit.SECONDS.toNanos(intervalS)
    private val suppressed = AtomicInteger()
    private val lastNs = AtomicLong(nowNs() - intervalNs)

    /** How many lines were suppressed since the last one, if a line may be logged now; else null, and this one is counted. */
    fun acquire(): Int? {
        val now = nowNs()
        val last = lastNs.get()
        if (now - last >= intervalNs && lastNs.compareAndSet(last, now)) return suppressed.getAndSet(0)
        suppressed.incrementAndGet()
        return null
    }
}
