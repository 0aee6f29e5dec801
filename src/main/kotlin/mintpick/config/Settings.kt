package mintpick.config

import mintpick.core.Micros
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Another controller of the cluster and its mesh address. */
data class Peer(
    val node: String,
    val zone: String,
    val address: Address,
)

/**
 * The checked settings of one controller, read once when its process starts. The file gives durations in seconds; here
 * they are in microseconds.
 */
data class Settings(
    val node: String,
    val zone: String,
    /** Listener for users and workers. */
    val api: Address,
    /** Listener for the other controllers. */
    val peerApi: Address,
    val peers: List<Peer>,
    val cloud: Address,
    val state: Address,
    val zones: List<String>,
    val teams: List<PlatformFile.TeamEntry>,
    val objectives: List<PlatformFile.Objective>,
    /** Interval at which a worker reports. */
    val heartbeatIntervalUs: Micros,
    /** How long a worker's lease holds after the last report that was answered. */
    val leaseUs: Micros,
    /** Within what time after a cancellation the job's tasks must be gone; longer than [leaseUs]. */
    val cancelUs: Micros,
    /** What the state service takes now and later: the smaller of both limits of each kind. */
    val limits: PlatformFile.State,
    /** Size of a value that the state service takes until its limits are lowered, in KiB. */
    val valueKbAtStart: Double,
    /** Requests per second that the cloud takes. */
    val cloudRps: Double,
    /** By how much the cloud's machine list usually lags; at times it is twice that. */
    val listLagUs: Micros,
    val resources: PlatformFile.Resources,
) {
    companion object {
        /**
         * The settings in the file at [path].
         *
         * @throws ConfigException if the file can't be read, or as [parse] does
         */
        fun load(path: Path): Settings {
            val text =
                try {
                    Files.readString(path)
                } catch (e: IOException) {
                    throw ConfigException("$path: can't be read (${e.javaClass.simpleName})", e)
                }
            return parse(text)
        }

        /**
         * The settings in [text], which is the platform's TOML.
         *
         * @throws ConfigException naming the first field that is missing, malformed or out of range
         */
        fun parse(text: String): Settings = SettingsValidator(PlatformFile.parse(text)).validatedSettings()
    }
}
