package mintpick.net

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * A thread pool that starts a new thread whenever all its threads are busy, and queues tasks only at its maximum size. The JDK's
 * pool queues first, so calls would wait behind a call to a dead machine, which occupies its thread for a second. Thread-safe.
 * `execute` throws [RejectedExecutionException] if the queue is full or the pool was shut down.
 */
internal class GrowingPool(
    name: String,
    threads: Int,
    private val taskQueue: TaskQueue = TaskQueue(),
) : ThreadPoolExecutor(minOf(CORE_THREADS, threads), threads, IDLE_THREAD_S, TimeUnit.SECONDS, taskQueue, { task ->
        Thread(null, task, name, STACK_BYTES).apply { isDaemon = true }
    }) {
    private val unfinished = AtomicInteger()

    /** Number of tasks that are running or queued. */
    val unfinishedTasks: Int get() = unfinished.get()

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

    /** The pool's queue. Refuses a task if the pool should start a new thread for it instead. */
    internal class TaskQueue : LinkedBlockingQueue<Runnable>(QUEUE_CAPACITY) {
        var canGrow: () -> Boolean = { false }

        override fun offer(task: Runnable): Boolean = if (canGrow()) false else super.offer(task)

        /** Queues [task] even if the pool could grow. Returns false if the queue is full. */
        fun enqueue(task: Runnable): Boolean = super.offer(task)
    }

    private companion object {
        const val CORE_THREADS = 2
        const val QUEUE_CAPACITY = 512
        const val IDLE_THREAD_S = 20L
        const val STACK_BYTES = 256L * 1024
    }
}
