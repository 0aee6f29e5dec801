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

/** Stand-in for the cloud: rents and returns machines and lists them late, as PROTOCOL describes it. */
class SimulatedCloud(
    private val cluster: SimulatedCluster,
    private val size: ClusterSize,
    private val listLagUs: Micros,
) {
    private val booting = LinkedHashMap<String, RentalRequest>()
    private val born = HashMap<String, Micros>()
    private val answered = HashMap<String, List<String>>()
    private val lists = ArrayDeque<Pair<Micros, List<ListedMachine>>>()

    /** Whether it answers nothing but 503. */
    var out = false

    /** Machines that come up late or never: by request, how many times their boot takes; null: never. */
    var bootFactor: (RentalRequest) -> Int? = { 1 }

    /** Machines rented, over all time. */
    var rented = 0
        private set

    /** Names of rental requests, each with the lives of controllers that used it. */
    val requestNames = HashMap<String, MutableSet<String>>()

    /** To be called each second: notes what a list that is asked for later will show. */
    fun noteList() {
        lists.addLast(cluster.now to listing())
        while (lists.size > size.listed) lists.removeFirst()
    }

    /** Notes that [life] of a controller sent [call], whether or not it arrives. */
    fun noteName(
        call: Call,
        life: String,
    ) {
        if (call.path != "/rentals" || call.method != "POST") return
        val request = WireJson.decodeFromString(RentalRequest.serializer(), requireNotNull(call.body).decodeToString())
        requestNames.getOrPut(request.request) { HashSet() } += life
    }

    fun request(
        call: Call,
        body: String,
        reply: (Int, ByteArray) -> Unit,
    ) {
        if (out) return reply(503, """{"error":"trouble"}""".encodeToByteArray())
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
            lists
                .lastOrNull { it.first <= cluster.now - lag }
                ?.second
                .orEmpty()
                .filter { it.id > after }
        return WireJson.encodeToString(MachineListPage.serializer(), MachineListPage(list.take(PAGE), list.size > PAGE))
    }

    private fun rent(body: String): List<String> {
        val request = WireJson.decodeFromString(RentalRequest.serializer(), body)
        return answered.getOrPut(request.request) {
            val workers = cluster.workers.values
            val spotUsed = workers.count { it.spot } + booting.values.count { it.spot }
            val spotLeft = if (request.spot) size.spot - spotUsed else Int.MAX_VALUE
            val left = size.machines - workers.size - booting.size
            List(minOf(request.count, left, spotLeft).coerceAtLeast(0)) { begin(request) }
        }
    }

    private fun begin(request: RentalRequest): String {
        val id = "host-%06d".format(++rented)
        booting[id] = request
        born[id] = cluster.now
        val usual = size.boots.first + cluster.random.nextLong(size.boots.last - size.boots.first)
        bootFactor(request)?.let { factor ->
            cluster.after(usual * factor) { booting.remove(id)?.let { cluster.boot(id, it) } }
        }
        return id
    }

    /** Forgets a machine that has not come up yet. */
    fun remove(id: String) {
        booting.remove(id)
    }

    private fun listing(): List<ListedMachine> {
        val all =
            booting.mapValues { (_, r) -> Triple(r.type, r.zone, r.spot) to RentalStage.BOOTING } +
                cluster.workers.mapValues { (_, w) -> Triple(w.type, w.zone, w.spot) to RentalStage.RUNNING }
        return all.toSortedMap().map { (id, kind) ->
            val (type, zone, spot) = kind.first
            ListedMachine(id, null, type, zone, spot, kind.second, (cluster.now - born.getValue(id)).toDouble() / SECOND)
        }
    }

    private companion object {
        const val PAGE = 500
    }
}
