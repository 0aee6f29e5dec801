package mintpick.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import net.peanuuutz.tomlkt.Toml

/**
 * Content of the platform's TOML file. Only the types of the values have been checked; [Settings] is the fully checked form.
 * Durations are in seconds unless the name of the property has another unit.
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
    /** `[[peers]]`: another controller, its zone and the address (`host:port`) at which it serves its peers. */
    @Serializable
    data class PeerEntry(
        val node: String,
        @SerialName("domain") val zone: String,
        @SerialName("addr") val address: String,
    )

    /** `[endpoints]`: addresses (`host:port`) of the cloud API and the state store. */
    @Serializable
    data class Endpoints(
        val cloud: String,
        val state: String,
    )

    /** `[settings]`: settings of the whole cluster, and the resources of this controller. */
    @Serializable
    data class Body(
        val zones: List<String>,
        /** Largest error of the wall clock, in milliseconds. */
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

    /**
     * `[[settings.objectives]]`: a service-level objective, which the fraction [share] of a class's jobs must meet within [withinS]
     * seconds.
     */
    @Serializable
    data class Objective(
        val kind: String,
        @SerialName("class") val jobClass: String? = null,
        @SerialName("within_s") val withinS: Double = 0.0,
        val share: Double = 0.0,
    )

    /**
     * `[settings.workers]`, in seconds: the interval between an agent's heartbeats, the length of its lease from a heartbeat on,
     * and the time within which all tasks of a cancelled job must have ended.
     */
    @Serializable
    data class Workers(
        @SerialName("report_s") val heartbeatIntervalS: Double,
        @SerialName("lease_s") val leaseS: Double,
        @SerialName("cancel_s") val cancelS: Double,
    )

    /**
     * `[settings.state]`: limits of the state store. Requests per second and changes (puts and deletes) per second for the whole
     * cluster, KiB per value, and changes per transaction.
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
     * `[settings.state.next]`: limits that the state store will switch to at an unspecified time after the upgrade, in the units
     * of [State]. A missing limit does not change.
     */
    @Serializable
    data class NextState(
        val rps: Double? = null,
        @SerialName("write_rps") val writeRps: Double? = null,
        @SerialName("value_kb") val valueKb: Double? = null,
        @SerialName("txn_ops") val transactionOps: Int? = null,
    )

    /** `[settings.cloud]`: requests per second that the cloud accepts, and the delay of its machine list in seconds. */
    @Serializable
    data class Cloud(
        val rps: Double,
        @SerialName("list_lag_s") val listLagS: Double,
    )

    /** `[settings.resources]`: limits of this controller: CPUs, memory in MB, and open sockets and files. */
    @Serializable
    data class Resources(
        val cpu: Double = 1.0,
        @SerialName("mem_mb") val memoryMb: Double = 0.0,
        @SerialName("fd_limit") val maxConnections: Int = DEFAULT_SOCKETS,
    )

    companion object {
        /** Usual limit of a process's open files. */
        private const val DEFAULT_SOCKETS = 1024
        private val TOML = Toml { ignoreUnknownKeys = true }

        /**
         * Parses the TOML in [text]. Unknown keys are ignored.
         *
         * @throws ConfigException if [text] is not valid TOML, or if a field is missing or of the wrong type
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
