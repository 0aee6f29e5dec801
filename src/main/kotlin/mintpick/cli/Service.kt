package mintpick.cli

import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.config.SocketBudget
import mintpick.core.MILLI
import mintpick.core.MemoryBudget
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.Engine
import mintpick.engine.EventLoop
import mintpick.engine.runtime.Event
import mintpick.net.CallLimits
import mintpick.net.HttpCaller
import mintpick.net.JdkServer
import mintpick.net.Outcome
import mintpick.users.ConnectionLimits
import mintpick.users.Routes
import mintpick.wire.MAX_BODY_BYTES
import org.slf4j.LoggerFactory
import java.util.SplittableRandom

/**
 * Limits on the requests that the service handles at the same time.
 *
 * @param apiThreads number of threads that read requests of users, agents and health checks
 * @param peerApiThreads number of threads that read requests of other controllers
 * @param sockets division of the process's sockets
 * @param idleS time after which the server closes a connection without a request, in seconds
 * @param memory division of the process's heap
 */
internal data class ServiceLimits(
    val apiThreads: Int,
    val peerApiThreads: Int,
    val sockets: SocketBudget,
    val idleS: Long,
    val memory: MemoryBudget,
)

/**
 * The engine with its event loop, its HTTP servers and its HTTP client. Must be started and closed by the same thread, which may
 * also run the event loop.
 */
internal class Service(
    private val settings: Settings,
    operators: Operators,
    random: SplittableRandom,
    private val limits: ServiceLimits,
) : AutoCloseable {
    private val sockets = limits.sockets
    private val connectionLimits =
        ConnectionLimits(sockets.agents, sockets.keptAgents, sockets.users, limits.idleS * SECOND + JdkServer.IDLE_CHECK_MS * MILLI)
    private val caller =
        HttpCaller(
            CallLimits(sockets.agentCalls, sockets.suspectAgentCalls, sockets.keptCalls, limits.memory.answerBytes),
            ::enqueueOutcome,
        )
    private val eventLoop: EventLoop =
        EventLoop(Engine(settings, operators, random, limits.memory), caller::start, ::monotonicUs, ::wallClockUs)
    private val routes =
        Routes(eventLoop::offer, eventLoop::isUp, sockets.pendingUserRequests, connectionLimits, limits.memory, ::monotonicUs)
    private val healthLog = HealthLog(eventLoop::reasonForDown)
    private val peerApiServer = JdkServer(settings.peerApi, limits.peerApiThreads, JdkServer.MAX_PEER_REQUEST_BYTES)
    private val apiServer = JdkServer(settings.api, limits.apiThreads, MAX_BODY_BYTES)
    private val requestExpiryThread = Thread(null, ::expireRequestsPeriodically, "overdue").apply { isDaemon = true }

    private var nextReportUs: Micros = 0

    /**
     * Starts the servers. Requests wait until the event loop runs.
     *
     * @throws java.io.IOException if an address cannot be bound; a server that was started before is closed by [close]
     */
    fun start() {
        peerApiServer.start(routes.peerApi)
        apiServer.start(routes.api)
        requestExpiryThread.start()
    }

    /** Runs the event loop on the calling thread until it is interrupted. The interrupt flag is set on return. */
    fun run() = eventLoop.run()

    /** Closes servers and connections immediately. The event loop must have ended. */
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
                expireSafely()
                Thread.sleep(REQUEST_EXPIRY_INTERVAL_MS)
            }
        } catch (_: InterruptedException) {
            // The service is being closed. Ends the thread with its interrupt flag set.
            Thread.currentThread().interrupt()
        }
    }

    /** Logs what is thrown: without this thread, requests would wait for their answers for ever. */
    private fun expireSafely() {
        try {
            routes.expireOverdueRequests()
            healthLog.tick()
            reportIfDue()
        } catch (e: RuntimeException) {
            LOG.error("expiry of requests failed", e)
        }
    }

    private fun reportIfDue() {
        if (monotonicUs() < nextReportUs) return
        nextReportUs = monotonicUs() + REPORT_INTERVAL
        LOG.info(
            "connections limit={} {} own {} server {} failed_requests={}",
            sockets.maxSockets,
            routes.takeConnectionReport(),
            caller.connectionReport(),
            apiServer.waits.takeReport(),
            apiServer.failures + peerApiServer.failures,
        )
        val runtime = Runtime.getRuntime()
        val usedBytes = runtime.totalMemory() - runtime.freeMemory()
        LOG.info("memory heap_bytes={} limit_bytes={} {}", usedBytes, limits.memory.heapBytes, routes.takeMemoryReport())
        routes.takeRefusalReport()?.let { LOG.info("requests refused {}", it) }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(Service::class.java)
        const val REPORT_INTERVAL: Micros = 10 * SECOND
        const val REQUEST_EXPIRY_INTERVAL_MS = 250L
        const val NANOS_PER_MICRO = 1_000L

        fun monotonicUs(): Micros = System.nanoTime() / NANOS_PER_MICRO

        fun wallClockUs(): Micros = System.currentTimeMillis() * MILLI
    }
}
