package mintpick.engine.capacity

import mintpick.cloud.CloudProtocol
import mintpick.core.BootKind
import mintpick.core.BootTimes
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Offer
import mintpick.core.SECOND
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.Reconciler
import mintpick.engine.cache.MachineTypePieces
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.TokenBucket
import mintpick.engine.state.FormatGate
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.store.Keys
import mintpick.store.RecordFormat
import mintpick.wire.ListedMachine
import mintpick.wire.MachineType
import mintpick.wire.RentalRequest
import mintpick.wire.RentalStage
import mintpick.wire.Retiring
import org.slf4j.LoggerFactory

/**
 * The machines as the cloud has them: lists them, rents and returns them, and proves machines gone.
 * Every controller lists, since every one may need the proof; the leader alone rents and returns.
 */
class CloudInventory(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val reconciler: Reconciler,
    private val health: ControllerHealth,
    private val formats: FormatGate,
) {
    /** A machine that was rented, or listed, and has not reported yet. */
    class Booting(
        val id: MachineId,
        val offer: Offer,
        val sinceUs: Micros,
    ) {
        /** Whether it has been counted as missing. */
        var isMissing = false
        val kind get() = BootKind(offer.type, offer.zone)
    }

    private val bootTimes = BootTimes()
    private val protocol = CloudProtocol(context.settings.cloud.toString())

    /** The leader alone rents and returns; lists, which every controller needs, have a part of the limit of their own. */
    private val requests = TokenBucket(context.settings.cloudRps * RENT_PART, maxOf(1.0, context.settings.cloudRps * RENT_PART * 2))
    private val lists =
        (context.settings.cloudRps * LIST_PART / (context.settings.peers.size + 1)).let { TokenBucket(it, maxOf(1.0, it * 2)) }
    private val firstKnown = HashMap<MachineId, Micros>()
    val booting = LinkedHashMap<MachineId, Booting>()
    private val refusedUntil = HashMap<Offer, Micros>()
    private val releasing = HashSet<MachineId>()
    private val pendingRentals = LinkedHashMap<String, RentalRequest>()
    private val busyRentals = HashSet<String>()
    private var listing: Listing? = null
    private var nextListUs: Micros = 0
    private var nextTypesUs: Micros = 0
    private var nextReleaseUs: Micros = 0
    private var nextNoticeUs: Micros = 0
    private var rentals = 0
    private val incarnation = java.lang.Long.toString(context.random.nextLong(Long.MAX_VALUE), RADIX)

    private val cache get() = context.cache

    fun available(offer: Offer): Boolean = context.now >= (refusedUntil[offer] ?: 0)

    /** Machines asked for whose names have not come back yet. */
    fun asked(): Map<Offer, Int> {
        val counts = HashMap<Offer, Int>()
        pendingRentals.values.forEach { counts.merge(Offer(it.type, it.zone, it.spot), it.count, Int::plus) }
        return counts
    }

    fun tick() {
        if (!stateStore.serving) return
        if (context.now >= nextNoticeUs) notice()
        if (context.now >= nextTypesUs) fetchTypes()
        // Just after a start there is more urgent work than reading a thousand machines.
        if (context.now >= nextListUs && context.now - stateStore.servingSinceUs > SETTLE) list()
        retryRentals()
        if (shardClaims.isLeader && health.healthy() && context.now >= nextReleaseUs) release()
    }

    private fun notice() {
        nextNoticeUs = context.now + NOTICE_EVERY
        cache.machines.keys.forEach { firstKnown.putIfAbsent(it, context.now) }
        cache.machinesWithTasks().forEach { firstKnown.putIfAbsent(it, context.now) }
        agents.views().forEach { view ->
            firstKnown.putIfAbsent(view.id, context.now)
            if (agents.isConfirmed(view)) endBoot(view.id)
        }
        cache.machines.keys.forEach(::endBoot)
        booting.values.forEach(::noticeMissing)
    }

    private fun endBoot(machine: MachineId) {
        val up = booting.remove(machine) ?: return
        val heard = agents.view(machine)?.firstHeardUs ?: return
        val nominal = bootUs(up)
        if (!up.isMissing && nominal > 0) bootTimes.booted(up.kind, (heard - up.sinceUs).toDouble() / nominal)
    }

    /** Whether nobody should wait for it any more. */
    fun isLate(waiting: Booting): Boolean = isBehind(waiting, bootTimes.lateAfter(waiting.kind))

    private fun noticeMissing(waiting: Booting) {
        if (waiting.isMissing || !isBehind(waiting, BootTimes.MISSING)) return
        waiting.isMissing = true
        val wasTroubled = bootTimes.isTroubled(waiting.kind)
        bootTimes.missing(waiting.kind)
        if (!wasTroubled && bootTimes.isTroubled(waiting.kind)) {
            LOG.warn("machines boot late type={} zone={}", waiting.offer.type, waiting.offer.zone)
        }
    }

    private fun bootUs(waiting: Booting): Micros = ((cache.types[waiting.offer.type]?.bootS ?: 0.0) * SECOND).toLong()

    private fun isBehind(
        waiting: Booting,
        times: Double,
    ): Boolean {
        val nominal = bootUs(waiting)
        return nominal > 0 && context.now - waiting.sinceUs > (nominal * times).toLong()
    }

    /** Machines of this kind boot late or never: another kind does better. */
    fun isTroubled(offer: Offer): Boolean = bootTimes.isTroubled(BootKind(offer.type, offer.zone))

    private fun fetchTypes() {
        if (cache.types.isNotEmpty() && !shardClaims.isLeader) return
        if (!lists.take(context.now, 1.0)) return
        nextTypesUs = context.now + RETRY
        context.call(protocol.types()) { outcome ->
            val result = protocol.readTypes(outcome)
            if (result !is CloudProtocol.Result.Ok || result.value.types.isEmpty()) return@call
            nextTypesUs = context.now + TYPES_EVERY
            if (result.value.types != cache.types.values.toList()) storeTypes(result.value.types)
        }
    }

    /** Types that one value can't hold go on in further pieces, which versions that know but one do not look for. */
    private fun storeTypes(types: List<MachineType>) {
        val pieces = MachineTypePieces.encode(types, formats.valueBytes, formats.current == RecordFormat.VERBOSE)
        val writes = pieces.mapIndexed { i, value -> Write(Keys.types(i), value) }
        val obsolete = (pieces.size until cache.typePieceCount).map { Write(Keys.types(it), null) }
        (writes + obsolete).chunked(context.settings.limits.transactionOps).forEach { stateStore.transact(emptyList(), it) { } }
    }

    /** A reading of the cloud's list, page after page; a page that fails is asked for again, those before it are not. */
    private class Listing(
        val startedUs: Micros,
    ) {
        val machines = ArrayList<ListedMachine>()
        var isAsked = false
        var nextUs: Micros = 0
    }

    private fun list() {
        val begun = listing
        // A short list is read at once; a long one at the pace of our part of the limit, which rentals must not lack.
        if (lists.available(context.now) < (if (begun == null) 1.0 else -LIST_AHEAD)) return
        val open = begun ?: Listing(context.now).also { listing = it }
        if (open.isAsked || context.now < open.nextUs) return
        lists.force(context.now, 1.0)
        open.isAsked = true
        context.call(protocol.list(open.machines.lastOrNull()?.id)) { outcome ->
            open.isAsked = false
            val result = protocol.readList(outcome)
            if (result is CloudProtocol.Result.Ok) {
                open.machines += result.value.machines
                if (!result.value.more || result.value.machines.isEmpty()) endList(open)
            } else {
                open.nextUs = context.now + RETRY
            }
        }
    }

    private fun endList(list: Listing) {
        listing = null
        nextListUs = context.now + if (shardClaims.isLeader) LIST_EVERY else LIST_EVERY * 2
        listed(list.machines, list.startedUs)
    }

    private fun listed(
        machines: List<ListedMachine>,
        startedUs: Micros,
    ) {
        val present = HashSet<MachineId>()
        for (machine in machines) {
            val id = MachineId(machine.id)
            present += id
            if (reconciler.isGone(id)) continue
            shardClaims.register(id, machine.zone)
            firstKnown.putIfAbsent(id, context.now)
            if (machine.stage == RentalStage.FAILED) failed += id
            if (id !in cache.machines && agents.view(id)?.latest == null) {
                val since = context.now - (machine.ageS * SECOND).toLong()
                booting.putIfAbsent(id, Booting(id, Offer(machine.type, machine.zone, machine.spot), since))
            }
        }
        // New machines are missing from a list for up to twice its lag; one known for longer that is not in it is gone.
        val settled = context.settings.listLagUs * LAGS + LAG_MARGIN
        for ((id, since) in firstKnown.entries.toList()) {
            if (id in present || startedUs - since < settled) continue
            val heard = agents.view(id)?.heardUs
            if (heard != null && startedUs - heard < context.settings.listLagUs * LAGS) continue
            reconciler.gone(id, "not-listed")
            booting.remove(id)
            if (id !in cache.machines && cache.tasksOn(id).isEmpty()) firstKnown.remove(id)
        }
    }

    private val failed = HashSet<MachineId>()
    private val emptySince = HashMap<MachineId, Micros>()

    /** Asks for machines, in as many requests as it takes and the limit allows now. */
    fun rent(
        offer: Offer,
        count: Int,
        reason: String,
    ) {
        var left = count
        while (left > 0 && requests.take(context.now, 1.0)) {
            // Names of requests are never used again: not by us, nor by another process with our name.
            val name = "${context.me.text}-$incarnation-${++rentals}"
            val request = RentalRequest(name, offer.type, offer.zone, offer.spot, minOf(left, CloudProtocol.MAX_RENT))
            LOG.info(
                "rent request={} type={} zone={} spot={} count={} reason={}",
                name,
                offer.type,
                offer.zone,
                offer.spot,
                request.count,
                reason,
            )
            left -= request.count
            pendingRentals[name] = request
            send(request)
        }
    }

    private fun send(request: RentalRequest) {
        busyRentals += request.request
        val offer = Offer(request.type, request.zone, request.spot)
        val sent = context.now
        context.call(protocol.rent(request)) { outcome ->
            busyRentals -= request.request
            when (val result = protocol.readRent(outcome)) {
                is CloudProtocol.Result.Ok -> {
                    pendingRentals -= request.request
                    for (name in result.value.machines) {
                        val id = MachineId(name)
                        firstKnown.putIfAbsent(id, context.now)
                        if (agents.view(id)?.latest == null) booting[id] = Booting(id, offer, sent)
                    }
                    if (result.value.machines.size < request.count) refusedUntil[offer] = context.now + NO_CAPACITY
                    LOG.info("rented request={} got={}", request.request, result.value.machines.size)
                }
                CloudProtocol.Result.NoCapacity -> {
                    pendingRentals -= request.request
                    refusedUntil[offer] = context.now + NO_CAPACITY
                    LOG.info("rent refused request={} type={} zone={} spot={}", request.request, offer.type, offer.zone, offer.spot)
                }
                CloudProtocol.Result.Refused -> pendingRentals -= request.request
                // It may have been carried out: the same name asks for the same machines, never for more.
                CloudProtocol.Result.Unknown -> Unit
            }
        }
    }

    private fun retryRentals() {
        val request = pendingRentals.values.firstOrNull { it.request !in busyRentals } ?: return
        if (requests.take(context.now, 1.0)) send(request)
    }

    private fun release() {
        nextReleaseUs = context.now + LOOK_EVERY
        val names = ArrayList<MachineId>()
        for (known in cache.machines.values) {
            val retiring = known.record.retiring
            val empty = retiring == Retiring.DRAIN && isSettledEmpty(known.id)
            if ((retiring == Retiring.NOW || empty) && !reconciler.isGone(known.id)) names += known.id
        }
        for (waiting in booting.values) if (isOverdue(waiting)) names += waiting.id
        names += failed.filter { !reconciler.isGone(it) }
        val open = names.distinct().filter { it !in releasing }.take(CloudProtocol.MAX_RELEASE)
        if (open.isEmpty() || !requests.take(context.now, 1.0)) return
        nextReleaseUs = context.now + RELEASE_EVERY
        releasing += open
        context.call(protocol.release(open.map { it.text })) { outcome ->
            releasing -= open.toSet()
            if (protocol.readRelease(outcome) is CloudProtocol.Result.Ok) {
                open.forEach {
                    reconciler.gone(it, "released")
                    booting.remove(it)
                    failed.remove(it)
                    emptySince.remove(it)
                }
            }
        }
    }

    /** Empty for a moment: its controller may have placed something there before it saw the mark. */
    private fun isSettledEmpty(id: MachineId): Boolean {
        if (cache.tasksOn(id).isNotEmpty()) {
            emptySince.remove(id)
            return false
        }
        return context.now - emptySince.getOrPut(id) { context.now } >= EMPTY_LEAST
    }

    /** Some machines never come up, and are charged until they are returned. */
    private fun isOverdue(waiting: Booting): Boolean {
        val nominal = bootUs(waiting)
        val most = (nominal * bootTimes.lostAfter(waiting.kind)).toLong() + BOOT_MARGIN + context.settings.listLagUs
        return nominal > 0 && context.now - waiting.sinceUs > most
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(CloudInventory::class.java)
        private const val RENT_PART = 0.45
        private const val LIST_PART = 0.45
        private const val RADIX = 36

        /** Pages of the cloud's list that may be read ahead of the limit's pace. */
        private const val LIST_AHEAD = 4.0
        private const val LAGS = 3
        private const val LAG_MARGIN: Micros = 2 * SECOND
        private const val LIST_EVERY: Micros = 3 * SECOND
        private const val NOTICE_EVERY: Micros = SECOND
        private const val TYPES_EVERY: Micros = 30 * SECOND
        private const val RETRY: Micros = SECOND
        private const val NO_CAPACITY: Micros = 15 * SECOND
        private const val SETTLE: Micros = 2 * SECOND
        private const val EMPTY_LEAST: Micros = 600 * MILLI
        private const val LOOK_EVERY: Micros = 100 * MILLI
        private const val RELEASE_EVERY: Micros = 500 * MILLI
        private const val BOOT_MARGIN: Micros = 10 * SECOND
    }
}
