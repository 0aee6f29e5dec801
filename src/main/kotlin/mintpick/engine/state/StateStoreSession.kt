package mintpick.engine.state

import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext
import org.slf4j.LoggerFactory

/** Phase of a controller's session with the state store: loading all records, acquiring a lease and registering, or serving. */
enum class SessionPhase { LOADING, JOINING, SERVING }

/**
 * This controller's session with the state store: its phase, its lease, and when the next setup request may be sent. Setup
 * requests are those that load the records, request a lease or register this controller. The parts of [StateStoreClient]
 * share one session. Event-loop thread only.
 */
class StateStoreSession(
    private val context: EngineContext,
) {
    var phase = SessionPhase.LOADING
        private set

    /** The lease that this controller's record and claims are attached to; null while there is none. */
    var lease: Long? = null
        private set

    /** When this controller last started serving by registering; 0 before the first time. */
    var servingSinceUs: Micros = 0
        private set

    /** Only one setup request is in flight at a time. */
    private var setupRequestInFlight = false
    private var nextSetupRequestUs: Micros = 0

    val isServing: Boolean get() = phase == SessionPhase.SERVING
    val isLoading: Boolean get() = phase == SessionPhase.LOADING

    /** Whether the next setup request may be sent now. */
    val canSendSetupRequest: Boolean get() = !setupRequestInFlight && context.now >= nextSetupRequestUs

    /** Must be called when a setup request is sent. */
    fun onSetupRequestSent() {
        setupRequestInFlight = true
    }

    /** Must be called when the setup request in flight was answered or has failed. */
    fun onSetupRequestEnded() {
        setupRequestInFlight = false
    }

    /** Delays the next setup request by [delay] microseconds. */
    fun delaySetupRequest(delay: Micros) {
        nextSetupRequestUs = context.now + delay
    }

    /** All records have been loaded. */
    fun onLoaded() {
        phase = if (lease == null) SessionPhase.JOINING else SessionPhase.SERVING
    }

    /** The cache was reset: all records have to be loaded again. */
    fun onCacheReset() {
        phase = SessionPhase.LOADING
    }

    /** The state store has granted [lease]. It can be used once this controller is registered under it. */
    fun onLeaseGranted(lease: Long) {
        this.lease = lease
    }

    /** This controller's record is attached to its lease. If a load has started in the meantime, serving starts when it ends. */
    fun onRegistered() {
        if (phase != SessionPhase.JOINING) return
        servingSinceUs = context.now
        phase = SessionPhase.SERVING
    }

    /** The registration was not committed. In the joining phase, the next attempt starts with a new lease. */
    fun onRegistrationFailed() {
        if (phase == SessionPhase.JOINING) lease = null
    }

    /** The lease has expired or may have expired; [reason] is logged. */
    fun onLeaseLost(reason: String) {
        if (lease == null) return
        LOG.warn("lease lost lease={} reason={}", lease, reason)
        lease = null
        // A load is completed first: in the joining phase a watch would start from an incomplete cache, which would be reset again.
        if (phase == SessionPhase.SERVING) phase = SessionPhase.JOINING
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(StateStoreSession::class.java)
    }
}
