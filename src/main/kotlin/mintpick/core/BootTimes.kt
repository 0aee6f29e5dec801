package mintpick.core

/** A machine type in a zone. Machines of the same kind have similar boot times. */
data class BootKind(
    val type: String,
    val zone: String,
)

/**
 * Measured boot times by kind, as multiples of the nominal boot time of the machine type. They give adaptive timeouts, like
 * retransmission timeouts: while most of the latest machines of a kind were slow or overdue, machines of this kind get more time
 * before they are replaced or released. Otherwise slow boots would make the planner rent the same capacity twice.
 * Event-loop thread only.
 */
class BootTimes {
    /** Boot times of the latest machines. An overdue machine counts with a fixed estimate. */
    private val latestMultiples = HashMap<BootKind, ArrayDeque<Double>>()

    /** Records that a machine of [kind] booted in [multiple] times its nominal boot time. */
    fun recordBoot(
        kind: BootKind,
        multiple: Double,
    ) = record(kind, multiple)

    /** Records that a machine of [kind] had not booted after [OVERDUE_MULTIPLE] times its nominal boot time. */
    fun recordOverdue(kind: BootKind) = record(kind, OVERDUE_MULTIPLE * OVERDUE_WEIGHT)

    private fun record(
        kind: BootKind,
        multiple: Double,
    ) {
        val multiples = latestMultiples.getOrPut(kind) { ArrayDeque() }
        multiples.addLast(multiple)
        if (multiples.size > MAX_SAMPLES) multiples.removeFirst()
    }

    /** Multiple of the nominal boot time after which a machine is no longer expected and a replacement is rented. */
    fun replaceAfterMultiple(kind: BootKind): Double = REPLACE_MULTIPLE * adaptation(kind)

    /** Multiple of the nominal boot time after which a machine that has not booted is released. */
    fun releaseAfterMultiple(kind: BootKind): Double = RELEASE_MULTIPLE * adaptation(kind)

    /** Whether most of the latest machines of [kind] were slow; other kinds should be preferred. */
    fun isSlow(kind: BootKind): Boolean = median(kind) > SLOW_MEDIAN

    private fun adaptation(kind: BootKind): Double = median(kind).coerceIn(1.0, MAX_ADAPTATION)

    /** Median of the samples of [kind]; 1, for the nominal boot time, if there are too few. */
    private fun median(kind: BootKind): Double {
        val multiples = latestMultiples[kind]?.takeIf { it.size >= MIN_SAMPLES } ?: return 1.0
        return multiples.sorted()[multiples.size / 2]
    }

    companion object {
        /** Multiple of the nominal boot time after which a machine counts as overdue, whether or not it boots later. */
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
