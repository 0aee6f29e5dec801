package mintpick.engine.transactions

import mintpick.wire.Guard

/** Parts that go into one transaction, with the team reservations that they bring with them. */
internal class TransactionBatch(
    private val limits: TransactionLimits,
    /** False while each job goes into a transaction of its own. */
    private val allowsMultipleParts: Boolean,
) {
    private val added = ArrayList<TransactionPart>()
    private val guards = HashSet<Guard>()
    private val limitedTeams = HashSet<String>()
    private var writes = 0
    private var bytes = 0

    /** What has been added, in this order. */
    val parts: List<TransactionPart> get() = added
    val isEmpty: Boolean get() = added.isEmpty()

    /** Writes of all parts and of [part], the reservations of their teams among them. */
    fun writesWith(part: TransactionPart): Int = writes + part.writes.size + reservationsWith(part)

    /** Whether the transaction stays within all limits with [part]. */
    fun hasRoomFor(part: TransactionPart): Boolean =
        (isEmpty || allowsMultipleParts) &&
            writesWith(part) <= limits.maxChanges &&
            guardsWith(part) <= limits.maxGuards &&
            bytes + part.bytes <= MAX_BYTES

    /** Adds [part], for which there must be room. */
    fun add(part: TransactionPart) {
        added += part
        guards += part.guards
        part.limitedTeam?.let { limitedTeams += it }
        writes += part.writes.size
        bytes += part.bytes
    }

    private fun guardsWith(part: TransactionPart): Int = (guards + part.guards).size + reservationsWith(part)

    private fun reservationsWith(part: TransactionPart): Int {
        val needsAnother = part.limitedTeam != null && part.limitedTeam !in limitedTeams
        return limitedTeams.size + if (needsAnother) 1 else 0
    }

    private companion object {
        /** Below what the state service takes in one request, which holds the guards as well. */
        const val MAX_BYTES = 40 * 1024
    }
}
