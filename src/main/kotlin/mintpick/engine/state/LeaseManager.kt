package mintpick.engine.state

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.store.Keys
import mintpick.store.StateResult
import mintpick.store.TransactionResult
import mintpick.wire.LeaseAnswer
import mintpick.wire.NodeRecord
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/** Acquires this controller's lease, registers the controller under it, renews it and detects its loss. Event-loop thread only. */
class LeaseManager(
    private val connection: StateStoreConnection,
    private val session: StateStoreSession,
    private val transactions: TransactionDispatcher,
    private val formats: RecordFormatNegotiator,
) {
    private val context = connection.context
    private val protocol = connection.protocol
    private var renewalInFlight = false
    private var nextRenewalUs: Micros = 0

    /** Requests a lease and then registers this controller under it. After a failure, a later call tries again. */
    fun requestLease() {
        val sent = context.now
        session.onSetupRequestSent()
        connection.request(protocol.grant(LEASE_TTL), protocol::readLease) { result ->
            session.onSetupRequestEnded()
            if (result is StateResult.Ok) onGranted(result.value, sent) else session.delaySetupRequest(StateStoreConnection.RETRY_DELAY)
        }
    }

    private fun onGranted(
        answer: LeaseAnswer,
        sentUs: Micros,
    ) {
        session.onLeaseGranted(answer.lease)
        nextRenewalUs = sentUs + RENEWAL_INTERVAL
        register(answer.lease)
    }

    /** Writes this controller's registration record, attached to [lease]. */
    private fun register(lease: Long) {
        session.onSetupRequestSent()
        val record = NodeRecord(context.self.text, lease, context.wallClockUs)
        val value = WireJson.encodeToJsonElement(NodeRecord.serializer(), record)
        val write = Write(Keys.node(context.self.text), value, leased = true)
        // Unguarded: a record left by an earlier process of this controller is obsolete.
        transactions.transact(emptyList(), listOfNotNull(write, formats.announcement())) { result ->
            session.onSetupRequestEnded()
            if (result is TransactionResult.Committed) {
                session.onRegistered()
                LOG.info("lease granted lease={} revision={}", lease, result.revision)
            } else {
                session.onRegistrationFailed()
                session.delaySetupRequest(StateStoreConnection.RETRY_DELAY)
            }
        }
    }

    /** Renews the lease when that is due, or rewrites this controller's record if it is not attached to the lease. */
    fun renew() {
        val lease = session.lease ?: return
        // A delayed write of an earlier registration may have attached the record to an expired lease.
        if (context.cache.nodes[context.self]?.lease != lease && session.canSendSetupRequest) {
            session.delaySetupRequest(REPAIR_INTERVAL)
            register(lease)
            return
        }
        if (renewalInFlight || context.now < nextRenewalUs) return
        sendRenewal(lease)
    }

    private fun sendRenewal(lease: Long) {
        renewalInFlight = true
        nextRenewalUs = context.now + RENEWAL_INTERVAL
        connection.request(protocol.renew(lease), protocol::readRenewal) { result ->
            renewalInFlight = false
            if (result is StateResult.Gone && session.lease == lease) session.onLeaseLost("expired")
            if (result is StateResult.RateLimited) nextRenewalUs = context.now + StateStoreConnection.RETRY_DELAY
        }
    }

    /**
     * Must be called after the process was paused. A lease that was not renewed in time may have expired, and other
     * controllers may have taken over the claims attached to it.
     */
    fun onProcessPause() {
        val sinceServed = context.now - (connection.statistics.lastServedUs ?: 0)
        if (sinceServed > LEASE_TTL) session.onLeaseLost("process pause")
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(LeaseManager::class.java)

        /** Time to live of a lease without renewal. */
        const val LEASE_TTL: Micros = 5 * SECOND
        private const val RENEWAL_INTERVAL: Micros = SECOND

        /** Time between two attempts to rewrite this controller's record while it is attached to another lease. */
        private const val REPAIR_INTERVAL: Micros = SECOND
    }
}
