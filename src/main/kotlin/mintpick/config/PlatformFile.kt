package mintpick.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import net.peanuuutz.tomlkt.Toml

/**
 * The platform's TOML file as it is written: nothing here is checked beyond its type, and durations are in seconds
 * unless the name says otherwise. [Settings] is the checked form.
 */
@Serializable
data class PlatformFile(
    val node: String,
    @SerialName("domain") val zone: String,
    @SerialName("api_addr") val apiAddress: String,
    @SerialName("mesh_addr") val peerApiAddress: String,
    val peers: List<PeerEntry> = emptyList(),
    val endpoints: Endpoints,
    val settings: Body,
) {
    /** `[[peers]]`: another controller, its zone and its mesh address (`host:port`). */
    @Serializable
    data class PeerEntry(
        val node: String,
        @SerialName("domain") val zone: String,
        @SerialName("addr") val address: String,
    )

    /** `[endpoints]`: where the cloud API and the state service listen (`host:port`). */
    @Serializable
    data class Endpoints(
        val cloud: String,
        val state: String,
    )

    /** `[settings]`: what holds for the whole cluster, and this controller's resources. */
    @Serializable
    data class Body(
        val zones: List<String>,
        /** Largest error of the time of day, in milliseconds. */
        @SerialName("clock_error_ms") val clockErrorMs: Double = 0.0,
        val teams: List<TeamEntry>,
        val objectives: List<Objective> = emptyList(),
        val workers: Workers,
        val state: State,
        val cloud: Cloud,
        val resources: Resources,
    )

    /** `[[settings.teams]]`: a team's guarantee ([cpus], [gpus]) and its limit ([cpusMax], [gpusMax]). */
    @Serializable
    data class TeamEntry(
        val name: String,
        val cpus: Double = 0.0,
        @SerialName("cpus_max") val cpusMax: Double = 0.0,
        val gpus: Double = 0.0,
        @SerialName("gpus_max") val gpusMax: Double = 0.0,
    )

    /** `[[settings.objectives]]`: a service-level objective; the part [share] of a class's jobs within [withinS] seconds. */
    @Serializable
    data class Objective(
        val kind: String,
        @SerialName("class") val jobClass: String? = null,
        @SerialName("within_s") val withinS: Double = 0.0,
        val share: Double = 0.0,
    )

    /**
     * `[settings.workers]`, in seconds: how often a worker reports, how long its lease holds after a report, and within
     * what time the tasks of a cancelled job must be gone.
     */
    @Serializable
    data class Workers(
        @SerialName("report_s") val heartbeatIntervalS: Double,
        @SerialName("lease_s") val leaseS: Double,
        @SerialName("cancel_s") val cancelS: Double,
    )

    /**
     * `[settings.state]`: limits of the state service. Requests and changes (puts and deletes) per second for the whole
     * cluster, KiB per value, changes per transaction.
     */
    @Serializable
    data class State(
        val rps: Double,
        @SerialName("write_rps") val writeRps: Double,
        @SerialName("value_kb") val valueKb: Double,
        @SerialName("txn_ops") val transactionOps: Int,
        val next: NextState? = null,
    )

    /**
     * `[settings.state.next]`: limits that the state service will have from some moment after the upgrade on, in the units
     * of [State]; an absent one stays as it is.
     */
    @Serializable
    data class NextState(
        val rps: Double? = null,
        @SerialName("write_rps") val writeRps: Double? = null,
        @SerialName("value_kb") val valueKb: Double? = null,
        @SerialName("txn_ops") val transactionOps: Int? = null,
    )

    /** `[settings.cloud]`: requests per second that the cloud takes, and by how many seconds its machine list lags. */
    @Serializable
    data class Cloud(
        val rps: Double,
        @SerialName("list_lag_s") val listLagS: Double,
    )

    /** `[settings.resources]`: what this controller may use: CPUs, memory in MB, open sockets and files. */
    @Serializable
    data class Resources(
        val cpu: Double = 1.0,
        @SerialName("mem_mb") val memoryMb: Double = 0.0,
        @SerialName("fd_limit") val maxConnections: Int = 0,
    )

    companion object {
        private val TOML = Toml { ignoreUnknownKeys = true }

        /**
         * The file's content in [text]; unknown keys are ignored.
         *
         * @throws ConfigException if it is no TOML, or if a field is missing or of the wrong type
         */
        fun parse(text: String): PlatformFile =
            try {
                TOML.decodeFromString(serializer(), text)
            } catch (e: SerializationException) {
                throw ConfigException("settings: ${e.messageInOneLine()}", e)
            } catch (e: IllegalArgumentException) {
                throw ConfigException("settings: ${e.messageInOneLine()}", e)
            }
    }
}
