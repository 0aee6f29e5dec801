package mintpick.store

/**
 * Encodes a set of names in few bytes. Names that differ only in a number of the same length at their end are stored as the
 * differences between consecutive numbers. Machines are usually numbered in this way, and most of their names take one byte.
 */
object CompactNames {
    /** Names that consist of the same [prefix] and a number of [digits] digits; 0 digits: a single name without a number. */
    private data class Series(
        val prefix: String,
        val digits: Int,
    )

    /** The most digits for which every number fits into an [Int]. */
    private const val MAX_DIGITS = 9

    /** Sorts [names] into the order in which they are written and read. */
    fun ordered(names: Collection<String>): List<String> =
        names.sortedWith(compareBy<String>({ seriesOf(it).prefix }, { it.length }, { it }))

    /** Writes the names [ordered], which must be sorted by the function [ordered] and contain no duplicates. */
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
            if (series.digits > 0) writeDifferences(names.map { it.takeLast(series.digits).toInt() }, writer)
        }
    }

    private fun writeDifferences(
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
     * Reads the names that [write] wrote, in the same order. Throws an [UnreadableRecordException] if the next bytes are not a
     * list of names, and an [ArithmeticException] if the sum of the differences exceeds the largest [Int].
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
        requireConsistent(digits <= MAX_DIGITS) { "names: number of digits is $digits, at most $MAX_DIGITS are allowed" }
        if (digits == 0) {
            val count = reader.number()
            requireConsistent(count == 1) { "names: count of a name without a number is $count, only 1 is allowed" }
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
