package mintpick.engine.cache

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonElement
import mintpick.wire.MachineType
import mintpick.wire.WireJson

/** Encoding of the list of machine types, which is stored in several records once it outgrows a value. */
object MachineTypePieces {
    private val SERIALIZER = ListSerializer(MachineType.serializer())

    /** The types in one record; throws [IllegalArgumentException] if [value] is not a list of types. */
    fun decode(value: JsonElement): List<MachineType> = WireJson.decodeFromJsonElement(SERIALIZER, value)

    /**
     * [types] in as few records as fit into values of [valueBytes] each, where a type larger than that has a record of its
     * own. One record, whatever its size, if [asSingleRecord].
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
