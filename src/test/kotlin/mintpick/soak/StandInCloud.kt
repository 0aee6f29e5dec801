package mintpick.soak

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.testing.MACHINE_TYPES
import mintpick.wire.ListedMachine
import mintpick.wire.MachineListPage
import mintpick.wire.MachineNames
import mintpick.wire.MachineTypes
import mintpick.wire.RentalRequest
import mintpick.wire.RentalStage
import mintpick.wire.WireJson
import java.util.SplittableRandom
import java.util.concurrent.ScheduledExecutorService

/** What a [StandInCloud] does with machines. */
internal interface MachineHost {
    /** Starts the agent of a machine that has booted. */
    fun boot(
        id: String,
        request: RentalRequest,
    )

    /** Ends a machine with all its tasks. */
    fun remove(id: String)
}

/** The cloud's API over HTTP: rents up to [maxMachines] machines at a time, lists them late and releases them. */
internal class StandInCloud(
    private val maxMachines: Int,
    private val host: MachineHost,
    private val timer: ScheduledExecutorService,
    private val random: SplittableRandom,
    private val nowUs: () -> Micros,
    private val repeats: RepeatedExecutions,
) : AutoCloseable {
    private class Machine(
        val request: RentalRequest,
        val rentedUs: Micros,
    ) {
        var stage = RentalStage.BOOTING
    }

    @Volatile var isUnavailable = false
    private val machines = sortedMapOf<String, Machine>()
    private val machinesByRequest = HashMap<String, List<String>>()
    private val listings = ArrayDeque<List<ListedMachine>>()
    private var rented = 0
    private val server = StandInServer(timer, ::handle)

    /** Host and port. */
    val address: String get() = server.address

    init {
        recordListing()
    }

    @Synchronized
    private fun recordListing() {
        listings.addLast(machines.map { (id, machine) -> listed(id, machine) })
        if (listings.size > LIST_LAG_S) listings.removeFirst()
        timer.after(SECOND) { recordListing() }
    }

    private fun listed(
        id: String,
        machine: Machine,
    ): ListedMachine {
        val request = machine.request
        val ageS = (nowUs() - machine.rentedUs).toDouble() / SECOND
        return ListedMachine(id, null, request.type, request.zone, request.spot, machine.stage, ageS)
    }

    private fun handle(request: StandInRequest) {
        if (isUnavailable) return request.reply(UNAVAILABLE, """{"error":"trouble"}""")
        val path = request.path.substringBefore('?')
        when {
            path == "/machine_types" -> request.reply(OK, WireJson.encodeToString(MachineTypes.serializer(), MachineTypes(MACHINE_TYPES)))
            path == "/rentals/release" -> release(request)
            request.method == "POST" -> rent(request)
            else -> list(request)
        }
    }

    private fun release(request: StandInRequest) {
        val names = WireJson.decodeFromString(MachineNames.serializer(), request.body).machines
        remove(names)
        request.reply(OK, "{}")
        repeats.onAnswered { remove(names) }
    }

    private fun remove(names: List<String>) {
        synchronized(this) { names.forEach(machines::remove) }
        names.forEach(host::remove)
    }

    private fun rent(request: StandInRequest) {
        val rental = WireJson.decodeFromString(RentalRequest.serializer(), request.body)
        request.reply(OK, WireJson.encodeToString(MachineNames.serializer(), MachineNames(machinesFor(rental))))
        repeats.onAnswered { machinesFor(rental) }
    }

    private fun machinesFor(rental: RentalRequest): List<String> =
        synchronized(this) { machinesByRequest.getOrPut(rental.request) { newMachines(rental) } }

    private fun newMachines(rental: RentalRequest): List<String> {
        val count = minOf(rental.count, maxMachines - machines.size).coerceAtLeast(0)
        return List(count) {
            val id = "host-%06d".format(++rented)
            machines[id] = Machine(rental, nowUs())
            timer.after(random.seconds(1, 3)) { finishBoot(id, rental) }
            id
        }
    }

    private fun finishBoot(
        id: String,
        rental: RentalRequest,
    ) {
        val isStillRented =
            synchronized(this) {
                machines[id]?.also { it.stage = RentalStage.RUNNING } != null
            }
        if (isStillRented) host.boot(id, rental)
    }

    private fun list(request: StandInRequest) {
        val after = request.path.substringAfter("since=", "").substringBefore('&')
        val found = synchronized(this) { listings.first().filter { it.id > after } }
        val page = MachineListPage(found.take(PAGE_SIZE), found.size > PAGE_SIZE)
        request.reply(OK, WireJson.encodeToString(MachineListPage.serializer(), page))
    }

    override fun close() = server.close()

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val PAGE_SIZE = 500
        const val LIST_LAG_S = 2
    }
}
