package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement

/** Stores the record [value] under [key], or removes what is stored there if the record was deleted. */
internal inline fun <K, V> MutableMap<K, V>.applyRecord(
    key: K,
    value: JsonElement?,
    decode: (JsonElement) -> V,
) {
    if (value == null) remove(key) else put(key, decode(value))
}
