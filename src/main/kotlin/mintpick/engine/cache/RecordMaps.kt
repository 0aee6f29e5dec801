package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement

/** Stores the decoded record [value] under [key], or removes the entry if [value] is null, because the record was deleted. */
internal inline fun <K, V> MutableMap<K, V>.applyRecord(
    key: K,
    value: JsonElement?,
    decode: (JsonElement) -> V,
) {
    if (value == null) remove(key) else put(key, decode(value))
}
