package mintpick.engine.capacity

import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.scheduling.Scheduler
import mintpick.engine.state.StateStoreClient

/** Returns machines that this controller has borrowed from shards of other controllers. Event-loop thread only. */
class BorrowedMachines(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val scheduler: Scheduler,
) {
    private val borrowedSinceUs = HashMap<MachineId, Micros>()

    private val cache get() = context.cache

    /** Returns borrowed machines that have no tasks, if [Scheduler.notFullyPlaced] is empty and [MIN_BORROW_TIME] has passed. */
    fun returnUnused() {
        borrowedSinceUs.keys.retainAll(cache.borrows.keys)
        for ((machine, claim) in cache.borrows.toMap()) {
            if (!shardClaims.isOwn(claim)) continue
            val sinceUs = borrowedSinceUs.getOrPut(machine) { context.now }
            val isNeeded = scheduler.notFullyPlaced.isNotEmpty() || cache.tasksOn(machine).isNotEmpty()
            val isDue = !isNeeded && context.now - sinceUs > MIN_BORROW_TIME
            if (isDue && stateStore.writesAllowed() > RESERVED_WRITES) shardClaims.returnBorrowed(machine)
        }
    }

    private companion object {
        const val MIN_BORROW_TIME: Micros = 20 * SECOND

        /** Writes to the state store that are reserved for more urgent records. */
        const val RESERVED_WRITES = 2
    }
}
