package mintpick.core

/** A machine type in a zone: machines of one kind boot alike. */
data class BootKind(
    val type: String,
    val zone: String,
)

/**
 * How long machines take to boot, by kind, as against what their type names. Like a retransmission timeout it adapts: while
 * most of the latest machines of a kind were late or are missing, others of it are waited for longer before they are replaced
 * or returned, so that a fleet that boots slowly is not rented twice over.
 */
class BootTimes {
    /** Boot times of the latest machines as multiples of the nominal one; of a late one, how long it has taken so far. */
    private val latest = HashMap<BootKind, ArrayDeque<Double>>()

    /** A machine of [kind] was up after [ratio] times its nominal boot time. */
    fun booted(
        kind: BootKind,
        ratio: Double,
    ) = record(kind, ratio)

    /** A machine of [kind] was not up after [MISSING] times its nominal boot time. */
    fun missing(kind: BootKind) = record(kind, MISSING * MISSING_WEIGHT)

    private fun record(
        kind: BootKind,
        ratio: Double,
    ) {
        val ratios = latest.getOrPut(kind) { ArrayDeque() }
        ratios.addLast(ratio)
        if (ratios.size > KEPT) ratios.removeFirst()
    }

    /** Multiple of the nominal boot time after which a machine is not counted on any more and another is rented for it. */
    fun lateAfter(kind: BootKind): Double = LATE * scale(kind)

    /** Multiple of the nominal boot time after which a machine is returned without having come up. */
    fun lostAfter(kind: BootKind): Double = LOST * scale(kind)

    /** Whether most of the latest machines of [kind] were late: other kinds are the better choice. */
    fun isTroubled(kind: BootKind): Boolean = median(kind) > TROUBLED

    private fun scale(kind: BootKind): Double = median(kind).coerceIn(1.0, MOST)

    private fun median(kind: BootKind): Double {
        val ratios = latest[kind]?.takeIf { it.size >= ENOUGH } ?: return 1.0
        return ratios.sorted()[ratios.size / 2]
    }

    companion object {
        /** Multiple of the nominal boot time after which a machine counts as missing until it is up. */
        const val MISSING = 2.2
        private const val MISSING_WEIGHT = 1.5
        private const val LATE = 1.6
        private const val LOST = 3.0
        private const val TROUBLED = 2.0
        private const val MOST = 2.0
        private const val KEPT = 9
        private const val ENOUGH = 4
    }
}
