package mintpick.config

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * The operators' own YAML file as it is written, durations in seconds. Every key may be left out; an unknown one is an
 * error, since a misspelt setting would otherwise go unnoticed. [Operators] is the checked form.
 */
@Serializable
data class OperatorsFile(
    @SerialName("window_s") val windowS: Double? = null,
    @SerialName("minimum_runtime_cap_s") val minimumRuntimeCapS: Double? = null,
    @SerialName("summary_every_s") val summaryEveryS: Double? = null,
    @SerialName("batch_headroom") val batchHeadroom: Double? = null,
    @SerialName("batch_memory_s") val batchMemoryS: Double? = null,
    @SerialName("service_headroom") val serviceHeadroom: Double? = null,
    @SerialName("idle_s") val idleS: Double? = null,
    @SerialName("queue_part") val queuePart: Double? = null,
    @SerialName("size_handicap") val sizeHandicap: Double? = null,
    @SerialName("placement_sample") val placementSample: Int? = null,
    val shares: List<ShareEntry>? = null,
) {
    /** A team, or a group of them if it has members; [weight] counts among the entries beside it. */
    @Serializable
    data class ShareEntry(
        val name: String,
        val weight: Double = 1.0,
        val members: List<ShareEntry>? = null,
    )

    companion object {
        private val YAML = Yaml(configuration = YamlConfiguration(strictMode = true))

        /**
         * The operators' settings in the file at [path], defaults where it has none.
         *
         * @throws ConfigException if the file can't be read, or as [parse] does
         */
        fun load(path: Path): Operators {
            val text =
                try {
                    Files.readString(path)
                } catch (e: IOException) {
                    throw ConfigException("operators: $path: can't be read (${e.javaClass.simpleName})", e)
                }
            return parse(text)
        }

        /**
         * The operators' settings in [text], which is YAML; defaults where it has none.
         *
         * @throws ConfigException naming the line of a fault in the YAML, or the key whose value is out of range
         */
        fun parse(text: String): Operators =
            try {
                OperatorsValidator(YAML.decodeFromString(serializer(), text)).validatedOperators()
            } catch (e: YamlException) {
                throw ConfigException("operators: line ${e.line}: ${e.messageInOneLine()}", e)
            } catch (e: SerializationException) {
                throw ConfigException("operators: ${e.messageInOneLine()}", e)
            }
    }
}
