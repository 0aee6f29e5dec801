package mintpick.engine.scheduling

import mintpick.config.Operators
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.UsageWindow
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.UsageLayout
import mintpick.engine.state.Write
import mintpick.store.Keys
import mintpick.store.RecordFormat
import mintpick.wire.UsageRecord
import mintpick.wire.WireJson

/** What the teams used in one slot of the window: share-seconds of the dominant resource by team. */
class SlotUsage(
    val slot: Long,
    val byTeam: Map<String, Double>,
)

/**
 * Stores summaries of this controller's use by team every few seconds, as in "Ai2 replaces GPU priority scheduling with time
 * budgets and fair share", and reads those of all controllers. Event-loop thread only.
 */
class UsageSummaryStore(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val operators: Operators,
    private val formats: RecordFormatNegotiator,
) {
    /** A layout and the size of values that it was made for. */
    private class CachedLayout(
        val valueBytes: Double,
        val layout: UsageLayout,
    )

    private val teams = context.settings.teams
    private val slotsPerWindow = (operators.windowUs / operators.slotUs).toInt() + 1
    private var cachedLayout: CachedLayout? = null
    private var nextSummaryUs: Micros = 0
    private var isWriting = false
    private val cache get() = context.cache

    /** Use as [node] has stored it, by slot; what a piece tells of a slot counts before the whole of earlier versions. */
    fun usageStoredBy(node: NodeId): List<SlotUsage> {
        val slots = HashMap<Long, HashMap<String, Double>>()
        for ((_, record) in cache.usage[node].orEmpty().toSortedMap()) {
            for ((slotText, shares) in record.slots) {
                val slot = slotText.toLongOrNull() ?: continue
                readShares(shares, record.firstTeam ?: 0, slots.getOrPut(slot) { HashMap() })
            }
        }
        return slots.map { (slot, byTeam) -> SlotUsage(slot, byTeam) }
    }

    private fun readShares(
        shares: List<Double>,
        firstTeam: Int,
        byTeam: MutableMap<String, Double>,
    ) {
        shares.forEachIndexed { i, share ->
            val team = teams.getOrNull(firstTeam + i)
            if (team != null) byTeam[team.name] = share
        }
    }

    /** Stores what [window] holds if the next summary is due, the state service is within reach, and writes are to spare. */
    fun storeIfDue(window: UsageWindow) {
        if (isWriting || context.now < nextSummaryUs) return
        if (!stateStore.isReachable || stateStore.writesAllowed() < MIN_WRITES_ALLOWED) return
        nextSummaryUs = context.now + operators.summaryEveryUs
        isWriting = true
        val writes = if (formats.current == RecordFormat.VERBOSE) listOf(legacySummary(window)) else pieceSummaries(window)
        var openTransactions = 0
        for (batch in writes.chunked(context.settings.limits.transactionOps)) {
            openTransactions++
            stateStore.transact(emptyList(), batch) { if (--openTransactions == 0) isWriting = false }
        }
    }

    /** All that the window holds in one record, as earlier versions keep it. */
    private fun legacySummary(window: UsageWindow): Write {
        val slots = window.snapshot().entries.associate { (slot, use) -> slot.toString() to shares(use, teams.indices) }
        return summary(LEGACY_PIECE, UsageRecord(context.wallClockUs, slots))
    }

    /** The pieces of the present slot; a record of earlier versions is deleted once all its slots have left the window. */
    private fun pieceSummaries(window: UsageWindow): List<Write> {
        val snapshot = window.snapshot()
        val pieces = currentLayout().piecesOf(window.slotOf(context.wallClockUs)).map { pieceSummary(it, snapshot) }
        if (!isLegacyRecordExpired(window)) return pieces
        return pieces + Write(Keys.usage(context.self.text), null)
    }

    private fun pieceSummary(
        piece: UsageLayout.Piece,
        snapshot: Map<Long, Map<String, Double>>,
    ): Write {
        val slots =
            snapshot
                .filterKeys { it in piece.slots }
                .entries
                .associate { (slot, use) -> slot.toString() to shares(use, piece.teams) }
        return summary(piece.number, UsageRecord(context.wallClockUs, slots, piece.teams.first))
    }

    private fun isLegacyRecordExpired(window: UsageWindow): Boolean {
        val legacyRecord = cache.usage[context.self]?.get(LEGACY_PIECE) ?: return false
        val oldestSlot = window.slotOf(context.wallClockUs - operators.windowUs)
        return legacyRecord.slots.keys.none { (it.toLongOrNull() ?: 0) >= oldestSlot }
    }

    /** Made anew only when the format, and with it the size of values, has changed. */
    private fun currentLayout(): UsageLayout {
        val valueBytes = formats.maxValueBytes
        val cached = cachedLayout
        if (cached != null && cached.valueBytes == valueBytes) return cached.layout
        val layout = UsageLayout(teams.size, slotsPerWindow, valueBytes)
        cachedLayout = CachedLayout(valueBytes, layout)
        return layout
    }

    /** Use of the teams numbered [range] in the order of the settings, rounded to what records keep. */
    private fun shares(
        use: Map<String, Double>,
        range: IntRange,
    ): List<Double> = range.map { Math.round((use[teams[it].name] ?: 0.0) * STEPS_PER_SHARE_SECOND) / STEPS_PER_SHARE_SECOND }

    private fun summary(
        piece: Int,
        record: UsageRecord,
    ) = Write(Keys.usage(context.self.text, piece), WireJson.encodeToJsonElement(UsageRecord.serializer(), record))

    private companion object {
        /** The number under which the one record of earlier versions is kept. */
        const val LEGACY_PIECE = 0
        const val STEPS_PER_SHARE_SECOND = 1e3
        const val MIN_WRITES_ALLOWED = 3
    }
}
