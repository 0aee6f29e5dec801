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
 * Unchecked content of the operators' YAML file, with durations in seconds. [Operators] is the checked form. Every key is
 * optional. An unknown key is an error, because a misspelt setting would otherwise go unnoticed.
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
    /** A node of the fair-share tree: a group if it has members, otherwise a team. [weight] is relative to its siblings. */
    @Serializable
    data class ShareEntry(
        val name: String,
        val weight: Double = 1.0,
        val members: List<ShareEntry>? = null,
    )

    companion object {
        private val YAML = Yaml(configuration = YamlConfiguration(strictMode = true))

        /**
         * Reads the operators' settings from the file at [path]. Missing keys get their defaults.
         *
         * @throws ConfigException if the file cannot be read, and in the cases listed at [parse]
         */
        fun load(path: Path): Operators {
            val text =
                try {
                    Files.readString(path)
                } catch (e: IOException) {
                    throw ConfigException("operators: $path: cannot be read (${e.javaClass.simpleName})", e)
                }
            return parse(text)
        }

        /**
         * Parses the operators' settings from the YAML in [text]. Missing keys get their defaults.
         *
         * @throws ConfigException naming the line of a YAML error, or the first key whose value is out of range
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
