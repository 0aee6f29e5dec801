package mintpick.engine.state

import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext
import mintpick.store.TransactionResult
import mintpick.wire.Guard

/**
 * This controller's client of the state service: it loads the records into the local cache, joins with a lease, watches the
 * changes, and sends transactions, all within this controller's share of the request limits. It composes one class for each
 * of these; other packages use only this one. Times are microseconds of the steady clock. Event-loop thread only.
 */
class StateStoreClient(
    context: EngineContext,
    formats: RecordFormatNegotiator,
) {
    private val connection = StateStoreConnection(context)
    private val statistics = connection.statistics
    private val session = StateStoreSession(context)
    private val transactions = TransactionDispatcher(connection, session)
    private val leaseManager = LeaseManager(connection, session, transactions, formats)
    private val watchReader = WatchReader(connection, session)
    private val snapshotLoader = SnapshotLoader(connection, session, watchReader)

    /** How far this controller is with the state service. */
    val phase: SessionPhase get() = session.phase

    /** The lease that this controller's record and claims are attached to; null while it has none. */
    val lease: Long? get() = session.lease

    /** Whether this controller is registered and its cache is loaded. */
    val isServing: Boolean get() = session.isServing

    /** When this controller last registered while it was joining; 0 before that. */
    val servingSinceUs: Micros get() = session.servingSinceUs

    /** The records have been read once, so that assignments are known even while joining again. */
    val hasLoaded: Boolean get() = !session.isLoading

    /** When the newest request was sent that the state service has served; null before the first one. */
    val lastServedUs: Micros? get() = statistics.lastServedUs

    /** False from the first failure on until a request is served again; one served within the grace period keeps it true. */
    val isReachable: Boolean get() = statistics.isReachable

    /**
     * Everything that was committed before this time is in the local cache; null before the first answered watch or
     * catch-up. Unlike [lastServedUs] it does not move with lease renewals, which say nothing of the records.
     */
    val cacheAsOfUs: Micros? get() = watchReader.cacheAsOfUs

    /** Transactions that may still be answered soon; those whose answers are lost are not counted. */
    val inFlightTransactions: Int get() = transactions.inFlightCount

    /** Transactions that the state service found too large, since the start. */
    val tooLargeTransactions: Long get() = transactions.tooLargeCount

    /** Whether a transaction may be sent, whatever others have used of the write limit. */
    val mayWrite: Boolean get() = transactions.mayWrite

    /** How many keys may be written now; transactions above it wait. */
    fun writesAllowed(): Int = transactions.writesAllowed()

    /** Latency of answered requests other than watches, in milliseconds by percentile, for the status page. */
    fun latencyMs(): Map<String, Double> = statistics.latencyMs()

    /** Sends the requests that are due: the next step towards isServing or a renewal, then the watch and the catch-up. */
    fun tick() {
        when (session.phase) {
            SessionPhase.LOADING -> if (session.canSendSetupRequest) snapshotLoader.load()
            SessionPhase.JOINING -> if (session.canSendSetupRequest) leaseManager.requestLease()
            SessionPhase.SERVING -> leaseManager.renew()
        }
        watchReader.tick()
    }

    /** The process was paused: a lease that was not renewed within its time is given up. */
    fun onProcessPause() = leaseManager.onProcessPause()

    /** Runs [onResult] with true once everything committed before this call is in the cache; with false if that can't be had now. */
    fun afterCatchUp(onResult: (Boolean) -> Unit) = watchReader.afterCatchUp(onResult)

    /**
     * Sends a transaction of [changes] under [guards], whatever the limits say: callers ask [mayWrite] or [writesAllowed]
     * before. [onResult] runs in a later step; what was committed is in the cache by then. The outcome is unknown if the
     * records were read anew meanwhile.
     */
    fun transact(
        guards: List<Guard>,
        changes: List<Write>,
        onResult: (TransactionResult) -> Unit,
    ) = transactions.transact(guards, changes, onResult)
}
