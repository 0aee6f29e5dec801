package mintpick.engine.cache

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonElement
import mintpick.wire.MachineType
import mintpick.wire.WireJson

/** Encoding of the machine types, which are stored in several records (pieces) if they are too large for one value. */
object MachineTypePieces {
    private val SERIALIZER = ListSerializer(MachineType.serializer())

    /** Decodes the types in one record; throws [IllegalArgumentException] if [value] is not a list of types. */
    fun decode(value: JsonElement): List<MachineType> = WireJson.decodeFromJsonElement(SERIALIZER, value)

    /**
     * Encodes [types], in this order, into as few records as possible of at most [valueBytes] each. A type that is larger than
     * that gets a record of its own. If [asSingleRecord] is set, all types are encoded into one record, regardless of its size.
     */
    fun encode(
        types: List<MachineType>,
        valueBytes: Double,
        asSingleRecord: Boolean,
    ): List<JsonElement> {
        if (asSingleRecord) return listOf(encodePiece(types))
        val pieces = ArrayList<List<MachineType>>()
        for (type in types) {
            val extended = pieces.lastOrNull().orEmpty() + type
            if (pieces.isNotEmpty() && encodePiece(extended).toString().length <= valueBytes) {
                pieces[pieces.lastIndex] = extended
            } else {
                pieces += listOf(type)
            }
        }
        return pieces.map(::encodePiece)
    }

    private fun encodePiece(types: List<MachineType>): JsonElement = WireJson.encodeToJsonElement(SERIALIZER, types)
}
