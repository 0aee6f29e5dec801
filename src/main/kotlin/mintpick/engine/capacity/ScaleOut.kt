package mintpick.engine.capacity

import mintpick.cloud.CloudProtocol
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Offer
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.net.Outcome
import mintpick.wire.MachineNames
import mintpick.wire.RentalRequest
import org.slf4j.LoggerFactory

/** Rents machines: sends requests, retries them after unknown outcomes, and backs off after refusals. Event-loop thread only. */
class ScaleOut(
    private val context: EngineContext,
    private val cloud: CloudClient,
    private val inventory: CloudInventory,
) {
    /** A rental request without a known outcome. */
    private class PendingRental(
        val request: RentalRequest,
    ) {
        val offer = Offer(request.type, request.zone, request.spot)
        var isInFlight = false
    }

    /** Pending requests by name, the oldest first. */
    private val pending = LinkedHashMap<String, PendingRental>()
    private val refusedUntilUs = HashMap<Offer, Micros>()
    private var requestCount = 0

    /** Random part of the request names, which distinguishes this process from earlier ones with the same controller name. */
    private val incarnation = java.lang.Long.toString(context.random.nextLong(Long.MAX_VALUE), INCARNATION_RADIX)

    /** Whether [offer] may be requested now. After the cloud had no capacity for it, it may not until [NO_CAPACITY_BACKOFF] has passed. */
    fun isAvailable(offer: Offer): Boolean = context.now >= (refusedUntilUs[offer] ?: 0)

    /** Whether most recent machines of [offer]'s type and zone booted late or never. */
    fun bootsSlowly(offer: Offer): Boolean = inventory.booting.isSlow(offer)

    /** Number of machines per offer in requests without a known outcome. */
    fun pendingCounts(): Map<Offer, Int> {
        val counts = HashMap<Offer, Int>()
        pending.values.forEach { counts.merge(it.offer, it.request.count, Int::plus) }
        return counts
    }

    /** Requests [count] machines, split into several requests if needed. Requests beyond the current rate limit are not sent. */
    fun request(
        offer: Offer,
        count: Int,
        reason: String,
    ) {
        var left = count
        while (left > 0 && cloud.changeBudget.take(context.now, 1.0)) {
            val rental = PendingRental(newRequest(offer, minOf(left, CloudProtocol.MAX_MACHINES_PER_RENTAL)))
            val request = rental.request
            LOG.info(
                "scale out request={} type={} zone={} spot={} count={} reason={}",
                request.request,
                offer.type,
                offer.zone,
                offer.spot,
                request.count,
                reason,
            )
            left -= request.count
            pending[request.request] = rental
            send(rental)
        }
    }

    /** Creates a request with a unique name: neither this process nor a later one with the same controller name reuses it. */
    private fun newRequest(
        offer: Offer,
        count: Int,
    ): RentalRequest {
        val name = "${context.self.text}-$incarnation-${++requestCount}"
        return RentalRequest(name, offer.type, offer.zone, offer.spot, count)
    }

    /** Retries the oldest request with an unknown outcome. */
    fun retryPending() {
        val rental = pending.values.firstOrNull { !it.isInFlight } ?: return
        if (cloud.changeBudget.take(context.now, 1.0)) send(rental)
    }

    private fun send(rental: PendingRental) {
        rental.isInFlight = true
        val sentUs = context.now
        context.call(cloud.protocol.rent(rental.request)) { outcome ->
            rental.isInFlight = false
            onAnswer(rental, outcome, sentUs)
        }
    }

    private fun onAnswer(
        rental: PendingRental,
        outcome: Outcome,
        sentUs: Micros,
    ) {
        when (val result = cloud.protocol.readRent(outcome)) {
            is CloudProtocol.Result.Ok -> onGranted(rental, result.value, sentUs)
            CloudProtocol.Result.NoCapacity -> onRefused(rental)
            CloudProtocol.Result.Refused -> pending -= rental.request.request
            // The cloud may have granted it. The retry is idempotent: the same name yields the same machines, never more.
            CloudProtocol.Result.Unknown -> Unit
        }
    }

    private fun onGranted(
        rental: PendingRental,
        granted: MachineNames,
        sentUs: Micros,
    ) {
        val request = rental.request
        pending -= request.request
        granted.machines.forEach { inventory.addRented(MachineId(it), rental.offer, sentUs) }
        if (granted.machines.size < request.count) backOff(rental.offer)
        LOG.info("scale out granted request={} count={}", request.request, granted.machines.size)
    }

    private fun onRefused(rental: PendingRental) {
        val request = rental.request
        pending -= request.request
        backOff(rental.offer)
        LOG.info("scale out refused request={} type={} zone={} spot={}", request.request, request.type, request.zone, request.spot)
    }

    /** Suspends requests for [offer], of which the cloud has no more machines, so that other offers are tried. */
    private fun backOff(offer: Offer) {
        refusedUntilUs[offer] = context.now + NO_CAPACITY_BACKOFF
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(ScaleOut::class.java)
        const val INCARNATION_RADIX = 36
        const val NO_CAPACITY_BACKOFF: Micros = 15 * SECOND
    }
}
