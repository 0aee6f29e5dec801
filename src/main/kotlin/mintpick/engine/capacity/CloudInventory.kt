package mintpick.engine.capacity

import mintpick.cloud.CloudProtocol
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Offer
import mintpick.core.SECOND
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.Reconciler
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.net.Outcome
import mintpick.wire.ListedMachine
import mintpick.wire.RentalStage

/**
 * Machines according to the cloud. Lists them, tracks which are booting, and marks machines as terminated when the cloud no longer
 * lists them or has released them. Every controller lists, because each may need this proof of termination. Event-loop thread only.
 */
class CloudInventory(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val reconciler: Reconciler,
    private val cloud: CloudClient,
    private val machineTypes: MachineTypeCatalog,
) {
    /** A listing in progress, read page by page. A failed page is requested again without restarting the listing. */
    private class Listing(
        val startedUs: Micros,
    ) {
        val machines = ArrayList<ListedMachine>()
        var isRequested = false
        var nextRequestUs: Micros = 0
    }

    /** Machines that were rented or listed and whose agents have not sent a heartbeat yet. */
    val booting = BootingMachines(context, agents)
    private val firstKnownUs = HashMap<MachineId, Micros>()
    private val failed = HashSet<MachineId>()
    private var currentListing: Listing? = null
    private var nextListUs: Micros = 0
    private var nextUpdateUs: Micros = 0

    private val cache get() = context.cache

    /** Machines that the cloud lists as failed and that are not yet known to be terminated. */
    fun failedMachines(): List<MachineId> = failed.filter { !reconciler.isTerminated(it) }

    /** Updates the known machines, and requests machine types and listings from the cloud when they are due. */
    fun tick() {
        if (!stateStore.isServing) return
        if (context.now >= nextUpdateUs) updateKnownMachines()
        machineTypes.tick()
        // Just after startup other work is more urgent than reading a list of about a thousand machines.
        val isStartupOver = context.now - stateStore.servingSinceUs > LIST_DELAY_AFTER_LOAD
        if (context.now >= nextListUs && isStartupOver) requestList()
    }

    private fun updateKnownMachines() {
        nextUpdateUs = context.now + UPDATE_INTERVAL
        cache.machines.keys.forEach(::recordKnown)
        cache.machinesWithTasks().forEach(::recordKnown)
        agents.views().forEach { view ->
            recordKnown(view.id)
            if (agents.isConfirmed(view)) booting.markBooted(view.id)
        }
        cache.machines.keys.forEach(booting::markBooted)
        booting.recordOverdue()
    }

    private fun recordKnown(machine: MachineId) {
        firstKnownUs.putIfAbsent(machine, context.now)
    }

    private fun requestList() {
        val current = currentListing
        // A short list is read at once. A long one is read at the rate of the read budget, to leave the cloud's rate limit to rentals.
        val minBudget = if (current == null) 1.0 else -MAX_PAGES_AHEAD
        if (cloud.readBudget.available(context.now) < minBudget) return
        val listing = current ?: Listing(context.now).also { currentListing = it }
        if (listing.isRequested || context.now < listing.nextRequestUs) return
        cloud.readBudget.charge(context.now, 1.0)
        listing.isRequested = true
        context.call(cloud.protocol.list(listing.machines.lastOrNull()?.id)) { onPage(listing, it) }
    }

    private fun onPage(
        listing: Listing,
        outcome: Outcome,
    ) {
        listing.isRequested = false
        val result = cloud.protocol.readList(outcome)
        if (result !is CloudProtocol.Result.Ok) {
            listing.nextRequestUs = context.now + RETRY_INTERVAL
            return
        }
        listing.machines += result.value.machines
        if (!result.value.hasMore || result.value.machines.isEmpty()) complete(listing)
    }

    private fun complete(listing: Listing) {
        currentListing = null
        nextListUs = context.now + if (shardClaims.isLeader) LIST_INTERVAL else LIST_INTERVAL * 2
        listing.machines.forEach(::register)
        terminateUnlisted(listing)
    }

    private fun register(machine: ListedMachine) {
        val id = MachineId(machine.id)
        if (reconciler.isTerminated(id)) return
        shardClaims.register(id, machine.zone)
        recordKnown(id)
        if (machine.stage == RentalStage.FAILED) failed += id
        if (id in cache.machines || agents.view(id)?.latestStatus != null) return
        val requestedUs = context.now - (machine.ageS * SECOND).toLong()
        booting.addListed(BootingMachine(id, Offer(machine.type, machine.zone, machine.spot), requestedUs))
    }

    /**
     * Marks machines as terminated that are missing from [listing]. A new machine may be missing for up to twice the list's lag.
     * Only machines known for longer than [LIST_LAG_MULTIPLE] times the lag plus [LIST_LAG_MARGIN], and not in contact since, are
     * marked.
     */
    private fun terminateUnlisted(listing: Listing) {
        val listed = listing.machines.mapTo(HashSet()) { MachineId(it.id) }
        val lagUs = context.settings.listLagUs * LIST_LAG_MULTIPLE
        for ((id, sinceUs) in firstKnownUs.entries.toList()) {
            if (id in listed || listing.startedUs - sinceUs < lagUs + LIST_LAG_MARGIN) continue
            val lastContactUs = agents.view(id)?.lastStatusUs
            if (lastContactUs != null && listing.startedUs - lastContactUs < lagUs) continue
            reconciler.markTerminated(id, "not-listed")
            booting.remove(id)
            if (id !in cache.machines && cache.tasksOn(id).isEmpty()) firstKnownUs.remove(id)
        }
    }

    /** Adds machine [id], which the cloud has granted for a rental requested at [requestedUs]. */
    fun addRented(
        id: MachineId,
        offer: Offer,
        requestedUs: Micros,
    ) {
        recordKnown(id)
        if (agents.view(id)?.latestStatus == null) booting.addRented(BootingMachine(id, offer, requestedUs))
    }

    /** Marks [id] as terminated, which the cloud's confirmation of its release proves. */
    fun onReleased(id: MachineId) {
        reconciler.markTerminated(id, "released")
        booting.remove(id)
        failed.remove(id)
    }

    private companion object {
        /** Pages of the cloud's list that may be read in advance of the read budget. */
        const val MAX_PAGES_AHEAD = 4.0

        /** Multiple of the list's lag after which an existing machine is certain to be listed. */
        const val LIST_LAG_MULTIPLE = 3
        const val LIST_LAG_MARGIN: Micros = 2 * SECOND
        const val LIST_INTERVAL: Micros = 3 * SECOND
        const val RETRY_INTERVAL: Micros = SECOND
        const val UPDATE_INTERVAL: Micros = SECOND
        const val LIST_DELAY_AFTER_LOAD: Micros = 2 * SECOND
    }
}
