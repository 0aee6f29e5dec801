package mintpick.engine.transactions

import mintpick.wire.Guard

/** Parts that are sent in one transaction, together with the team reservations that they require. */
internal class TransactionBatch(
    private val limits: TransactionLimits,
    /** False while each job is sent in a transaction of its own. */
    private val allowsMultipleParts: Boolean,
) {
    private val added = ArrayList<TransactionPart>()
    private val guards = HashSet<Guard>()
    private val limitedTeams = HashSet<String>()
    private var writes = 0
    private var bytes = 0

    /** The added parts, in order. */
    val parts: List<TransactionPart> get() = added
    val isEmpty: Boolean get() = added.isEmpty()

    /** Number of writes of all added parts and [part], including the reservations of their teams. */
    fun writesWith(part: TransactionPart): Int = writes + part.writes.size + reservationsWith(part)

    /** Whether the transaction stays within all limits if [part] is added. */
    fun fits(part: TransactionPart): Boolean =
        (isEmpty || allowsMultipleParts) &&
            writesWith(part) <= limits.maxChanges &&
            guardsWith(part) <= limits.maxGuards &&
            bytes + part.bytes <= TransactionLimits.MAX_BYTES

    /** Adds [part]. [fits] must have returned true for it. */
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
}
