package mintpick.users

import java.util.concurrent.atomic.AtomicLong

/**
 * Memory of requests that are being decoded or wait for an answer, at most [limitBytes]. A request reserves what it may need before it
 * is decoded, and releases the rest afterwards. Thread-safe.
 */
internal class RequestMemory(
    private val limitBytes: Long,
) {
    private val used = AtomicLong()
    private val most = AtomicLong()

    /** Reserves [bytes] and returns true, or returns false if the limit does not allow it. */
    fun tryReserve(bytes: Long): Boolean {
        val after = used.addAndGet(bytes)
        if (after > limitBytes) {
            used.addAndGet(-bytes)
            return false
        }
        most.accumulateAndGet(after, ::maxOf)
        return true
    }

    /** Releases [bytes] that were reserved. */
    fun release(bytes: Long) {
        used.addAndGet(-bytes)
    }

    /** Returns a text for the log: bytes now and at most since the last call. */
    fun takeReport(): String {
        val now = used.get()
        return "bytes=$now most_bytes=${most.getAndSet(now)} limit_bytes=$limitBytes"
    }
}
