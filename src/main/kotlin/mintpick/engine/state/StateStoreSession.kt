package mintpick.engine.state

import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext
import org.slf4j.LoggerFactory

/** How far a controller is with the state service: reading all records, getting a lease and registering, or in service. */
enum class SessionPhase { LOADING, JOINING, SERVING }

/**
 * This controller's session with the state service: its phase, its lease, and when the next step towards serving may be
 * taken. The parts of [StateStoreClient] share it. Event-loop thread only.
 */
class StateStoreSession(
    private val context: EngineContext,
) {
    var phase = SessionPhase.LOADING
        private set

    /** The lease that this controller's record and claims are attached to; null while it has none. */
    var lease: Long? = null
        private set

    /** When this controller last registered while it was joining; 0 before that. */
    var servingSinceUs: Micros = 0
        private set

    /** Requests of the load, of the grant and of the registration: one is in flight at a time, whichever it is. */
    private var setupRequestInFlight = false
    private var nextSetupRequestUs: Micros = 0

    val isServing: Boolean get() = phase == SessionPhase.SERVING
    val isLoading: Boolean get() = phase == SessionPhase.LOADING

    /** Whether the next request of the load, the grant or the registration may leave now. */
    val canSendSetupRequest: Boolean get() = !setupRequestInFlight && context.now >= nextSetupRequestUs

    /** A request of the load, the grant or the registration leaves. */
    fun setupRequestSent() {
        setupRequestInFlight = true
    }

    /** The request of [setupRequestSent] has ended. */
    fun setupRequestEnded() {
        setupRequestInFlight = false
    }

    /** The next request of the load, the grant or the registration waits for [delay] microseconds. */
    fun delaySetupRequest(delay: Micros) {
        nextSetupRequestUs = context.now + delay
    }

    /** All records have been read. */
    fun loaded() {
        phase = if (lease == null) SessionPhase.JOINING else SessionPhase.SERVING
    }

    /** All records have to be read anew. */
    fun reload() {
        phase = SessionPhase.LOADING
    }

    /** The state service has granted [lease]; it is of use once this controller is registered with it. */
    fun leaseGranted(lease: Long) {
        this.lease = lease
    }

    /** The record of this controller is attached to its lease. A load that began meanwhile serves at its own end. */
    fun registered() {
        if (phase != SessionPhase.JOINING) return
        servingSinceUs = context.now
        phase = SessionPhase.SERVING
    }

    /** The registration did not commit: while joining, the next attempt begins with a new lease. */
    fun registrationFailed() {
        if (phase == SessionPhase.JOINING) lease = null
    }

    /** The lease has expired, or may have, for [reason]. */
    fun leaseLost(reason: String) {
        if (lease == null) return
        LOG.warn("lease lost lease={} reason={}", lease, reason)
        lease = null
        // A load goes on to its end, and joins then: a watch in the midst of it would empty the records once more.
        if (phase == SessionPhase.SERVING) phase = SessionPhase.JOINING
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(StateStoreSession::class.java)
    }
}
