package mintpick.engine.state

import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext
import mintpick.store.TransactionResult
import mintpick.wire.Guard

/**
 * Client of the state store. It loads the records into the local cache, acquires a lease and registers this controller,
 * watches for changes, and sends transactions, all within this controller's share of the request limits.
 *
 * Each of these tasks has a class of its own; other packages use only this one. Times are microseconds of the monotonic
 * clock. Event-loop thread only.
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

    /** Phase of this controller's session with the state store. */
    val phase: SessionPhase get() = session.phase

    /** The lease that this controller's record and claims are attached to; null while there is none. */
    val lease: Long? get() = session.lease

    /** Whether this controller is registered and its cache is loaded. */
    val isServing: Boolean get() = session.isServing

    /** When this controller last started serving by registering; 0 before the first time. */
    val servingSinceUs: Micros get() = session.servingSinceUs

    /** Whether all records are loaded. Assignments are then known even while this controller acquires a new lease. */
    val hasLoaded: Boolean get() = !session.isLoading

    /** Send time of the newest request that the state store has served; null before the first one. */
    val lastServedUs: Micros? get() = statistics.lastServedUs

    /**
     * False from the first failure until a request is served again. It stays true while the newest served request was sent
     * within the grace period.
     */
    val isReachable: Boolean get() = statistics.isReachable

    /**
     * All changes committed before this time are in the local cache; null before the first answered watch or catch-up. Unlike
     * [lastServedUs], it does not advance with lease renewals, whose answers contain no records.
     */
    val cacheAsOfUs: Micros? get() = watchReader.cacheAsOfUs

    /** Number of transactions whose answers are still expected; those whose answers are considered lost are excluded. */
    val inFlightTransactions: Int get() = transactions.inFlightCount

    /** Number of transactions that the state store has rejected as too large since the start. */
    val tooLargeTransactions: Long get() = transactions.tooLargeCount

    /** Whether a transaction may be sent now, regardless of the write limit. */
    val mayWrite: Boolean get() = transactions.mayWrite

    /** Number of keys that may be written now; larger transactions have to wait. */
    fun writesAllowed(): Int = transactions.writesAllowed()

    /** The most keys that [writesAllowed] ever allows. */
    val maxWrites: Int get() = connection.limits.maxWrites

    /** Number of keys by which [writesAllowed] grows in a second. */
    val writesPerSecond: Double get() = connection.limits.writesPerSecond

    /** Latency of answered requests other than watches, in milliseconds by percentile, for the status page. */
    fun latencyMs(): Map<String, Double> = statistics.latencyMs()

    /** Sends the requests that are due: the next setup request or a lease renewal, then the watch and the catch-up. */
    fun tick() {
        when (session.phase) {
            SessionPhase.LOADING -> if (session.canSendSetupRequest) snapshotLoader.load()
            SessionPhase.JOINING -> if (session.canSendSetupRequest) leaseManager.requestLease()
            SessionPhase.SERVING -> leaseManager.renew()
        }
        watchReader.tick()
    }

    /** Must be called after the process was paused. Treats a lease that was not renewed in time as lost. */
    fun onProcessPause() = leaseManager.onProcessPause()

    /** Calls [onResult] with true once all changes committed before this call are in the cache, or with false if that is impossible now. */
    fun afterCatchUp(onResult: (Boolean) -> Unit) = watchReader.afterCatchUp(onResult)

    /**
     * Sends a transaction of [changes] under [guards] regardless of the limits; callers check [mayWrite] or [writesAllowed]
     * first. [onResult] is called in a later step, when committed changes are already in the cache. It receives an unknown
     * outcome if the cache was reset in the meantime.
     */
    fun transact(
        guards: List<Guard>,
        changes: List<Write>,
        onResult: (TransactionResult) -> Unit,
    ) = transactions.transact(guards, changes, onResult)
}
