package mintpick.core

/** A machine type in a zone: machines of one kind take similar times to boot. */
data class BootKind(
    val type: String,
    val zone: String,
)

/**
 * How long machines take to boot, by kind, as multiples of the nominal boot time of their type. Like a retransmission timeout
 * it adapts: while most of the latest machines of a kind were slow or overdue, others of it get a longer timeout before they
 * are replaced or released, so that slow boots do not make the planner rent the same capacity twice. Event-loop thread only.
 */
class BootTimes {
    /** Samples of the latest machines; an overdue one counts with the time that it has taken so far. */
    private val latestMultiples = HashMap<BootKind, ArrayDeque<Double>>()

    /** A machine of [kind] was up after [multiple] times its nominal boot time. */
    fun recordBoot(
        kind: BootKind,
        multiple: Double,
    ) = record(kind, multiple)

    /** A machine of [kind] was not up after [OVERDUE_MULTIPLE] times its nominal boot time. */
    fun recordOverdue(kind: BootKind) = record(kind, OVERDUE_MULTIPLE * OVERDUE_WEIGHT)

    private fun record(
        kind: BootKind,
        multiple: Double,
    ) {
        val multiples = latestMultiples.getOrPut(kind) { ArrayDeque() }
        multiples.addLast(multiple)
        if (multiples.size > MAX_SAMPLES) multiples.removeFirst()
    }

    /** Multiple of the nominal boot time after which a machine is not counted on any more and another is rented for it. */
    fun replaceAfterMultiple(kind: BootKind): Double = REPLACE_MULTIPLE * adaptation(kind)

    /** Multiple of the nominal boot time after which a machine is released without having come up. */
    fun releaseAfterMultiple(kind: BootKind): Double = RELEASE_MULTIPLE * adaptation(kind)

    /** Whether most of the latest machines of [kind] were slow: other kinds are the better choice. */
    fun isSlow(kind: BootKind): Boolean = median(kind) > SLOW_MEDIAN

    private fun adaptation(kind: BootKind): Double = median(kind).coerceIn(1.0, MAX_ADAPTATION)

    /** Median of the samples of [kind]; the nominal boot time while there are too few. */
    private fun median(kind: BootKind): Double {
        val multiples = latestMultiples[kind]?.takeIf { it.size >= MIN_SAMPLES } ?: return 1.0
        return multiples.sorted()[multiples.size / 2]
    }

    companion object {
        /** Multiple of the nominal boot time after which a machine counts as overdue, whether it comes up later or not. */
        const val OVERDUE_MULTIPLE = 2.2
        private const val OVERDUE_WEIGHT = 1.5
        private const val REPLACE_MULTIPLE = 1.6
        private const val RELEASE_MULTIPLE = 3.0
        private const val SLOW_MEDIAN = 2.0
        private const val MAX_ADAPTATION = 2.0
        private const val MAX_SAMPLES = 9
        private const val MIN_SAMPLES = 4
    }
}
