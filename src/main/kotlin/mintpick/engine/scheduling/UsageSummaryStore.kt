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

/** The teams' usage in one slot of the window: share-seconds of the dominant resource by team. */
class SlotUsage(
    val slot: Long,
    val byTeam: Map<String, Double>,
)

/**
 * Stores summaries of this controller's usage by team every few seconds, as in "Ai2 replaces GPU priority scheduling with time
 * budgets and fair share", and reads those of all controllers. Event-loop thread only.
 */
class UsageSummaryStore(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val operators: Operators,
    private val formats: RecordFormatNegotiator,
) {
    /** A layout and the value size that it was computed for. */
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

    /** The usage that [node] has stored, by slot. Pieces take precedence over the single record that earlier versions store. */
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

    /** Stores the content of [window] if the next summary is due, the state store is reachable, and write budget is available. */
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

    /** The content of [window] in a single record, as earlier versions store it. */
    private fun legacySummary(window: UsageWindow): Write {
        val slots = window.snapshot().entries.associate { (slot, use) -> slot.toString() to shares(use, teams.indices) }
        return summary(LEGACY_PIECE, UsageRecord(context.wallClockUs, slots))
    }

    /** The pieces of the current slot. The single record of an earlier version is deleted after all its slots have left the window. */
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

    /** The layout for the current value size; computed again only if the format, and with it the value size, has changed. */
    private fun currentLayout(): UsageLayout {
        val valueBytes = formats.maxValueBytes
        val cached = cachedLayout
        if (cached != null && cached.valueBytes == valueBytes) return cached.layout
        val layout = UsageLayout(teams.size, slotsPerWindow, valueBytes)
        cachedLayout = CachedLayout(valueBytes, layout)
        return layout
    }

    /** Usage of the teams numbered [range] in the order of the settings, rounded to the precision of records. */
    private fun shares(
        use: Map<String, Double>,
        range: IntRange,
    ): List<Double> = range.map { Math.round((use[teams[it].name] ?: 0.0) * STEPS_PER_SHARE_SECOND) / STEPS_PER_SHARE_SECOND }

    private fun summary(
        piece: Int,
        record: UsageRecord,
    ) = Write(Keys.usage(context.self.text, piece), WireJson.encodeToJsonElement(UsageRecord.serializer(), record))

    private companion object {
        /** Piece number of the single record that earlier versions store. */
        const val LEGACY_PIECE = 0
        const val STEPS_PER_SHARE_SECOND = 1e3
        const val MIN_WRITES_ALLOWED = 3
    }
}
