package mintpick.config

import mintpick.core.Micros
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Another controller of the cluster and the address at which it serves its peers. */
data class Peer(
    val node: String,
    val zone: String,
    val address: Address,
)

/**
 * Checked settings of one controller, read once when its process starts. Durations are in microseconds here and in seconds in
 * the file ([PlatformFile]).
 */
data class Settings(
    val node: String,
    val zone: String,
    /** Listening address for users, agents and health checks. */
    val api: Address,
    /** Listening address for the other controllers. */
    val peerApi: Address,
    val peers: List<Peer>,
    val cloud: Address,
    val state: Address,
    val zones: List<String>,
    val teams: List<PlatformFile.TeamEntry>,
    val objectives: List<PlatformFile.Objective>,
    /** Interval between an agent's heartbeats. */
    val heartbeatIntervalUs: Micros,
    /** Length of an agent's lease, counted from the last heartbeat that was answered. */
    val leaseUs: Micros,
    /** Time after a cancellation within which all tasks of the job must have ended. Longer than [leaseUs]. */
    val cancelUs: Micros,
    /** Limits of the state store: for each, the smaller of its current and its announced value. */
    val limits: PlatformFile.State,
    /** Largest value in KiB that the state store accepts until its announced limits take effect. */
    val valueKbAtStart: Double,
    /** Requests per second that the cloud accepts. */
    val cloudRps: Double,
    /** Usual delay of the cloud's machine list. The delay can reach twice this value. */
    val listLagUs: Micros,
    val resources: PlatformFile.Resources,
) {
    companion object {
        /**
         * Reads the settings from the file at [path].
         *
         * @throws ConfigException if the file cannot be read, and in the cases listed at [parse]
         */
        fun load(path: Path): Settings {
            val text =
                try {
                    Files.readString(path)
                } catch (e: IOException) {
                    throw ConfigException("$path: cannot be read (${e.javaClass.simpleName})", e)
                }
            return parse(text)
        }

        /**
         * Parses the settings from the platform's TOML in [text].
         *
         * @throws ConfigException naming the first field that is missing, malformed or out of range
         */
        fun parse(text: String): Settings = SettingsValidator(PlatformFile.parse(text)).validatedSettings()
    }
}
