package mintpick.soak

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import java.util.SplittableRandom
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.exp
import kotlin.math.ln

/** Lets stand-ins carry out requests that they have answered once more; nobody waits for the second answer. Thread-safe. */
internal class RepeatedExecutions(
    private val timer: ScheduledExecutorService,
    private val random: SplittableRandom,
) {
    /** Thousandths of the answered requests that are carried out again from a moment to a minute later. */
    @Volatile var rate = 0

    private val latest = ArrayDeque<() -> Unit>()
    private val repeated = AtomicInteger()

    /** Number of requests that were carried out again. */
    val count: Int get() = repeated.get()

    /** Must be called when a request was carried out and answered; [again] carries it out once more. */
    fun onAnswered(again: () -> Unit) {
        if (random.occurs(rate)) return timer.after(randomDelay()) { repeat(again) }
        synchronized(latest) {
            latest.addLast(again)
            if (latest.size > MAX_KEPT) latest.removeFirst()
        }
    }

    /** Carries out [thousandths] of the latest answered requests again within a moment. */
    fun repeatLatest(thousandths: Int) {
        val chosen = synchronized(latest) { latest.filter { random.occurs(thousandths) }.also { latest.removeAll(it.toSet()) } }
        for (again in chosen) timer.after(random.seconds(0, 1)) { repeat(again) }
    }

    private fun repeat(again: () -> Unit) {
        repeated.incrementAndGet()
        again()
    }

    private fun randomDelay(): Micros {
        val share = synchronized(random) { random.nextDouble() }
        return exp(ln(MIN_DELAY) + share * (ln(MAX_DELAY) - ln(MIN_DELAY))).toLong()
    }

    private companion object {
        const val MAX_KEPT = 1_000
        const val MIN_DELAY = 10.0 * MILLI
        const val MAX_DELAY = 60.0 * SECOND
    }
}
