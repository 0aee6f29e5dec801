package mintpick.cli

import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.Engine
import mintpick.engine.EventLoop
import mintpick.engine.runtime.Event
import mintpick.net.HttpCaller
import mintpick.net.JdkServer
import mintpick.net.Outcome
import mintpick.users.Routes
import java.util.SplittableRandom

/**
 * How much the service takes on at once.
 *
 * @param apiThreads threads that read requests of users, workers and health checks
 * @param peerApiThreads threads that read requests of other controllers
 * @param maxPendingUserRequests users' requests that may wait for their answer
 */
internal data class ServiceLimits(
    val apiThreads: Int,
    val peerApiThreads: Int,
    val maxPendingUserRequests: Int,
)

/**
 * The engine with its event loop, its servers and its outgoing calls. Started and closed by one thread, which may also be the
 * one that [run]s the event loop.
 */
internal class Service(
    private val settings: Settings,
    operators: Operators,
    random: SplittableRandom,
    private val limits: ServiceLimits,
) : AutoCloseable {
    private val caller = HttpCaller(::enqueueOutcome)
    private val eventLoop: EventLoop = EventLoop(Engine(settings, operators, random), caller::start, ::monotonicUs, ::wallClockUs)
    private val routes = Routes(eventLoop::offer, eventLoop::isUp, limits.maxPendingUserRequests, ::monotonicUs)
    private val peerApiServer = JdkServer(settings.peerApi, limits.peerApiThreads)
    private val apiServer = JdkServer(settings.api, limits.apiThreads)
    private val requestExpiryThread = Thread(null, ::expireRequestsPeriodically, "overdue").apply { isDaemon = true }

    /**
     * Opens the servers; requests wait until the event loop runs.
     *
     * @throws java.io.IOException if an address can't be bound; what was opened until then is closed by [close]
     */
    fun start() {
        peerApiServer.start(routes.peerApi)
        apiServer.start(routes.api)
        requestExpiryThread.start()
    }

    /** Runs the event loop on this thread until it is interrupted; the interrupt flag is set then. */
    fun run() = eventLoop.run()

    /** Closes servers and connections at once; the event loop must have ended. */
    override fun close() {
        requestExpiryThread.interrupt()
        apiServer.stop()
        peerApiServer.stop()
        caller.stop()
    }

    private fun enqueueOutcome(
        id: Long,
        outcome: Outcome,
    ) = eventLoop.put(Event.CallDone(id, outcome))

    private fun expireRequestsPeriodically() {
        try {
            while (true) {
                routes.expireOverdueRequests()
                Thread.sleep(REQUEST_EXPIRY_INTERVAL_MS)
            }
        } catch (_: InterruptedException) {
            // The service is closed; the flag is for whoever looks at this thread.
            Thread.currentThread().interrupt()
        }
    }

    private companion object {
        const val REQUEST_EXPIRY_INTERVAL_MS = 250L
        const val NANOS_PER_MICRO = 1_000L

        fun monotonicUs(): Micros = System.nanoTime() / NANOS_PER_MICRO

        fun wallClockUs(): Micros = System.currentTimeMillis() * MILLI
    }
}
