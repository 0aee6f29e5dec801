package mintpick.store

/**
 * A set of names as few bytes: names that differ only in a number of the same length at their end are kept as the steps
 * between those numbers. A fleet's machines are named in this way, so that most names take one byte.
 */
object CompactNames {
    /** Names of the same [prefix] that end in a number of [digits] digits; 0 digits for a single name without a number. */
    private data class Series(
        val prefix: String,
        val digits: Int,
    )

    /** So many digits fit into an [Int], whatever they are. */
    private const val MAX_DIGITS = 9

    /** [names] in the order in which they are written and read back. */
    fun ordered(names: Collection<String>): List<String> =
        names.sortedWith(compareBy<String>({ seriesOf(it).prefix }, { it.length }, { it }))

    /** Writes [ordered], which must be in the order of the function of that name and without duplicates. */
    internal fun write(
        ordered: List<String>,
        writer: VarintWriter,
    ) {
        val namesBySeries = ordered.groupByTo(LinkedHashMap(), ::seriesOf)
        writer.number(namesBySeries.size)
        for ((series, names) in namesBySeries) {
            writer.text(series.prefix)
            writer.number(series.digits)
            writer.number(names.size)
            if (series.digits > 0) writeSteps(names.map { it.takeLast(series.digits).toInt() }, writer)
        }
    }

    private fun writeSteps(
        numbers: List<Int>,
        writer: VarintWriter,
    ) {
        var previous = 0
        for (number in numbers) {
            writer.number(number - previous)
            previous = number
        }
    }

    /**
     * The names that [write] wrote, in their order. Throws an [UnreadableRecordException] if the next bytes are no names, and
     * an [ArithmeticException] if the steps lead beyond the largest [Int].
     */
    internal fun read(reader: VarintReader): List<String> {
        val names = ArrayList<String>()
        repeat(reader.count()) { readSeries(reader, names) }
        return names
    }

    private fun readSeries(
        reader: VarintReader,
        names: MutableList<String>,
    ) {
        val prefix = reader.text()
        val digits = reader.number()
        requireConsistent(digits <= MAX_DIGITS) { "a number of $digits digits" }
        if (digits == 0) {
            requireConsistent(reader.number() == 1) { "a name stands twice" }
            names += prefix
            return
        }
        var number = 0
        repeat(reader.count()) {
            number = Math.addExact(number, reader.number())
            names += prefix + number.toString().padStart(digits, '0')
        }
    }

    private fun seriesOf(name: String): Series {
        val digitsAtEnd = name.reversed().takeWhile { it in '0'..'9' }.length
        val digits = minOf(MAX_DIGITS, digitsAtEnd)
        return Series(name.dropLast(digits), digits)
    }
}
