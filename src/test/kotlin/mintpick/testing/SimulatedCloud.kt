package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.wire.ListedMachine
import mintpick.wire.MachineListPage
import mintpick.wire.MachineNames
import mintpick.wire.MachineTypes
import mintpick.wire.RentalRequest
import mintpick.wire.RentalStage
import mintpick.wire.WireJson

/** Simulates the cloud as PROTOCOL describes it: rents and releases machines, and lists them with a delay. */
class SimulatedCloud(
    private val cluster: SimulatedCluster,
    private val size: ClusterSize,
    private val listLagUs: Micros,
) {
    private val booting = LinkedHashMap<String, RentalRequest>()
    private val rentedAt = HashMap<String, Micros>()
    private val machinesByRequest = HashMap<String, List<String>>()
    private val listings = ArrayDeque<Pair<Micros, List<ListedMachine>>>()

    /** Outage: every request is answered with 503. */
    var unavailable = false

    /** Factor by which the boot time of a request's machines is multiplied; null: they never boot. */
    var bootTimeFactor: (RentalRequest) -> Int? = { 1 }

    /** Number of machines rented so far. */
    var rentedMachines = 0
        private set

    /** Names of rental requests, each with the controller processes ([SimulatedCluster.Node.name]) that used it. */
    val incarnationsByRequest = HashMap<String, MutableSet<String>>()

    /** Records the current listing, which later list requests may return. Must be called each second. */
    fun recordListing() {
        listings.addLast(cluster.now to listing())
        while (listings.size > size.keptListings) listings.removeFirst()
    }

    /** Records that the controller process [incarnation] sent [call], whether or not it arrives. */
    fun recordRequestName(
        call: Call,
        incarnation: String,
    ) {
        if (call.path != "/rentals" || call.method != "POST") return
        val request = WireJson.decodeFromString(RentalRequest.serializer(), requireNotNull(call.body).decodeToString())
        incarnationsByRequest.getOrPut(request.request) { HashSet() } += incarnation
    }

    fun request(
        call: Call,
        body: String,
        reply: (Int, ByteArray) -> Unit,
    ) {
        if (unavailable) return reply(503, """{"error":"trouble"}""".encodeToByteArray())
        val route = call.path.substringBefore('?')
        val text =
            when {
                route == "/machine_types" -> WireJson.encodeToString(MachineTypes.serializer(), MachineTypes(MACHINE_TYPES))
                route == "/rentals/release" -> release(body)
                call.method == "POST" -> WireJson.encodeToString(MachineNames.serializer(), MachineNames(rent(body)))
                else -> list(after = call.path.substringAfter("since=", "").substringBefore('&'))
            }
        reply(200, text.encodeToByteArray())
    }

    private fun release(body: String): String {
        WireJson.decodeFromString(MachineNames.serializer(), body).machines.forEach(cluster::remove)
        return "{}"
    }

    private fun list(after: String): String {
        val lag = listLagUs * (1 + cluster.random.nextInt(2))
        val list =
            listings
                .lastOrNull { it.first <= cluster.now - lag }
                ?.second
                .orEmpty()
                .filter { it.id > after }
        return WireJson.encodeToString(MachineListPage.serializer(), MachineListPage(list.take(PAGE_SIZE), list.size > PAGE_SIZE))
    }

    private fun rent(body: String): List<String> {
        val request = WireJson.decodeFromString(RentalRequest.serializer(), body)
        return machinesByRequest.getOrPut(request.request) {
            val agents = cluster.agents.values
            val spotUsed = agents.count { it.spot } + booting.values.count { it.spot }
            val spotLeft = if (request.spot) size.spotMachines - spotUsed else Int.MAX_VALUE
            val left = size.machines - agents.size - booting.size
            List(minOf(request.count, left, spotLeft).coerceAtLeast(0)) { startBoot(request) }
        }
    }

    private fun startBoot(request: RentalRequest): String {
        val id = "host-%06d".format(++rentedMachines)
        booting[id] = request
        rentedAt[id] = cluster.now
        val usual = size.bootTimes.first + cluster.random.nextLong(size.bootTimes.last - size.bootTimes.first)
        bootTimeFactor(request)?.let { factor ->
            cluster.after(usual * factor) { booting.remove(id)?.let { cluster.boot(id, it) } }
        }
        return id
    }

    /** Discards a machine that is still booting. */
    fun remove(id: String) {
        booting.remove(id)
    }

    private fun listing(): List<ListedMachine> {
        val all =
            booting.mapValues { (_, r) -> Triple(r.type, r.zone, r.spot) to RentalStage.BOOTING } +
                cluster.agents.mapValues { (_, w) -> Triple(w.type, w.zone, w.spot) to RentalStage.RUNNING }
        return all.toSortedMap().map { (id, kind) ->
            val (type, zone, spot) = kind.first
            ListedMachine(id, null, type, zone, spot, kind.second, (cluster.now - rentedAt.getValue(id)).toDouble() / SECOND)
        }
    }

    private companion object {
        const val PAGE_SIZE = 500
    }
}
