package mintpick.store

/**
 * A set of names as few bytes: names that differ only in a number of the same length at their end are kept as the steps
 * between those numbers. A fleet's machines are named in this way, so that most names take one byte.
 */
object CompactNames {
    private data class Series(
        val prefix: String,
        val digits: Int,
    )

    private const val MOST_DIGITS = 9

    /** [names] in the order in which they are written and read back. */
    fun ordered(names: Collection<String>): List<String> =
        names.sortedWith(compareBy<String>({ seriesOf(it).prefix }, { it.length }, { it }))

    /** Writes [ordered], which must be in the order of [ordered]. */
    internal fun write(
        ordered: List<String>,
        to: VarintWriter,
    ) {
        val series = ordered.groupByTo(LinkedHashMap(), ::seriesOf)
        to.number(series.size)
        for ((kind, members) in series) {
            to.text(kind.prefix)
            to.number(kind.digits)
            to.number(members.size)
            if (kind.digits > 0) writeSteps(members.map { it.takeLast(kind.digits).toInt() }, to)
        }
    }

    private fun writeSteps(
        numbers: List<Int>,
        to: VarintWriter,
    ) {
        var last = 0
        for (number in numbers) {
            to.number(number - last)
            last = number
        }
    }

    internal fun read(from: VarintReader): List<String> {
        val names = ArrayList<String>()
        repeat(from.count()) { readSeries(from, names) }
        return names
    }

    private fun readSeries(
        from: VarintReader,
        names: MutableList<String>,
    ) {
        val prefix = from.text()
        val digits = from.number()
        require(digits <= MOST_DIGITS) { "a number of $digits digits" }
        if (digits == 0) {
            require(from.number() == 1) { "a name stands twice" }
            names += prefix
            return
        }
        var last = 0
        repeat(from.count()) {
            last = Math.addExact(last, from.number())
            names += prefix + last.toString().padStart(digits, '0')
        }
    }

    private fun seriesOf(name: String): Series {
        val digits = minOf(MOST_DIGITS, name.reversed().takeWhile { it in '0'..'9' }.length)
        return Series(name.dropLast(digits), digits)
    }
}
