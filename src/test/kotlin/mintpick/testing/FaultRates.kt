package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.wire.MachineType

/** Odds of what goes wrong with any one message, in thousandths. */
data class FaultRates(
    val lost: Int = 0,
    val lostAnswer: Int = 0,
    val late: Int = 0,
    /** Reports of which another copy comes seconds to over a lease later, to whichever controller. */
    val copied: Int = 0,
)

/** How large the world may grow. */
data class ClusterSize(
    val machines: Int = 14,
    val listed: Int = 30,
    /** Spot machines that the cloud has. */
    val spot: Int = Int.MAX_VALUE,
    val boots: LongRange = 2 * SECOND..10 * SECOND,
)

/** What the stand-in for the cloud rents. */
val MACHINE_TYPES =
    listOf(
        MachineType("small", 8.0, 0.0, 32.0, 30.0, 0.5, 0.4, 0.1, 5.0, listOf("north", "south")),
        MachineType("large", 16.0, 0.0, 64.0, 30.0, 0.5, 0.9, 0.25, 4.0, listOf("north", "south")),
    )

/** Something to be done at a virtual time; those of the same time go in order. */
internal class Timer(
    val atUs: Micros,
    val order: Long,
    val run: () -> Unit,
)
