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

/** Gets this controller's lease, registers the controller with it, renews it, and notices its loss. Event-loop thread only. */
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

    /** Asks for a lease, and registers this controller with it; a failure is retried by a later call. */
    fun requestLease() {
        val sent = context.now
        session.setupRequestSent()
        connection.request(protocol.grant(LEASE_TTL), protocol::readLease) { result ->
            session.setupRequestEnded()
            if (result is StateResult.Ok) onGranted(result.value, sent) else session.delaySetupRequest(StateStoreConnection.RETRY_DELAY)
        }
    }

    private fun onGranted(
        answer: LeaseAnswer,
        sentUs: Micros,
    ) {
        session.leaseGranted(answer.lease)
        nextRenewalUs = sentUs + RENEWAL_INTERVAL
        register(answer.lease)
    }

    /** Writes the record of this controller. */
    private fun register(lease: Long) {
        session.setupRequestSent()
        val record = NodeRecord(context.self.text, lease, context.wallClockUs)
        val value = WireJson.encodeToJsonElement(NodeRecord.serializer(), record)
        val write = Write(Keys.node(context.self.text), value, leased = true)
        // Unguarded: whatever an earlier process of this name left behind is over.
        transactions.transact(emptyList(), listOfNotNull(write, formats.announcement())) { result ->
            session.setupRequestEnded()
            if (result is TransactionResult.Committed) {
                session.registered()
                LOG.info("lease granted lease={} revision={}", lease, result.revision)
            } else {
                session.registrationFailed()
                session.delaySetupRequest(StateStoreConnection.RETRY_DELAY)
            }
        }
    }

    /** Renews the lease when it is due, or repairs this controller's record. */
    fun renew() {
        val lease = session.lease ?: return
        // A late write of an earlier registration may have attached the record to a lease that has expired.
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
            if (result is StateResult.Gone && session.lease == lease) session.leaseLost("expired")
            if (result is StateResult.Limited) nextRenewalUs = context.now + StateStoreConnection.RETRY_DELAY
        }
    }

    /** The process was paused: a lease that was not renewed within its time may be over, and the claims on it taken by others. */
    fun onProcessPause() {
        val sinceServed = context.now - (connection.statistics.lastServedUs ?: 0)
        if (sinceServed > LEASE_TTL) session.leaseLost("process pause")
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(LeaseManager::class.java)

        /** How long a lease lives without a renewal. */
        const val LEASE_TTL: Micros = 5 * SECOND
        private const val RENEWAL_INTERVAL: Micros = SECOND

        /** Between two attempts to write the record of this controller while it is attached to another lease. */
        private const val REPAIR_INTERVAL: Micros = SECOND
    }
}
