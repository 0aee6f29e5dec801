package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.wire.MachineType

/** Probabilities of faults of single messages, in thousandths. */
data class FaultRates(
    val lost: Int = 0,
    val lostAnswer: Int = 0,
    val late: Int = 0,
    /** Heartbeats of which a copy reaches a random controller 2 to 60 s later, which can be more than a lease. */
    val duplicated: Int = 0,
)

/** Limits of what the cloud offers to a simulated cluster. */
data class ClusterSize(
    val machines: Int = 14,
    /** Past listings that the cloud keeps, one per second, to answer with an outdated one. */
    val keptListings: Int = 30,
    /** Spot machines that can be rented at the same time. */
    val spotMachines: Int = Int.MAX_VALUE,
    /** Time between the rental of a machine and the first heartbeat of its agent. */
    val bootTimes: LongRange = 2 * SECOND..10 * SECOND,
    val controllers: Int = 3,
    /** What each controller is charged for its work; null: its steps take no time. */
    internal val processor: ProcessorCosts? = null,
)

/** Machine types that [SimulatedCloud] offers. */
val MACHINE_TYPES =
    listOf(
        MachineType("small", 8.0, 0.0, 32.0, 30.0, 0.5, 0.4, 0.1, 5.0, listOf("north", "south")),
        MachineType("large", 16.0, 0.0, 64.0, 30.0, 0.5, 0.9, 0.25, 4.0, listOf("north", "south")),
    )

/** Action scheduled for a virtual time. Actions scheduled for the same time run in ascending [order]. */
internal class Timer(
    val atUs: Micros,
    val order: Long,
    val run: () -> Unit,
)
