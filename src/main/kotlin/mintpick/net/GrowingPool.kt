package mintpick.net

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * A thread pool that grows while all its threads are busy, and only then lets calls wait: a dead machine holds a thread for a
 * second. The JDK's own pool lets calls wait first. For any thread; `execute` throws [RejectedExecutionException] if the queue
 * is full or the pool was shut down.
 */
internal class GrowingPool(
    name: String,
    threads: Int,
    private val taskQueue: TaskQueue = TaskQueue(),
) : ThreadPoolExecutor(minOf(CORE_THREADS, threads), threads, IDLE_THREAD_S, TimeUnit.SECONDS, taskQueue, { task ->
        Thread(null, task, name, STACK_BYTES).apply { isDaemon = true }
    }) {
    /** Tasks that run or wait. */
    private val unfinished = AtomicInteger()

    init {
        taskQueue.canGrow = { unfinished.get() > poolSize && poolSize < maximumPoolSize }
        setRejectedExecutionHandler { task, _ ->
            if (isShutdown || !taskQueue.enqueue(task)) {
                unfinished.decrementAndGet()
                throw RejectedExecutionException(if (isShutdown) "$name pool stopped" else "$name queue full")
            }
        }
    }

    override fun execute(task: Runnable) {
        unfinished.incrementAndGet()
        super.execute(task)
    }

    override fun afterExecute(
        task: Runnable,
        thrown: Throwable?,
    ) {
        unfinished.decrementAndGet()
    }

    /** The pool's queue, which refuses a task as long as the pool can start a thread for it instead. */
    internal class TaskQueue : LinkedBlockingQueue<Runnable>(QUEUE_CAPACITY) {
        var canGrow: () -> Boolean = { false }

        override fun offer(task: Runnable): Boolean = if (canGrow()) false else super.offer(task)

        /** Queues [task] whether or not the pool could grow; false if the queue is full. */
        fun enqueue(task: Runnable): Boolean = super.offer(task)
    }

    private companion object {
        const val CORE_THREADS = 2
        const val QUEUE_CAPACITY = 512
        const val IDLE_THREAD_S = 20L
        const val STACK_BYTES = 256L * 1024
    }
}
