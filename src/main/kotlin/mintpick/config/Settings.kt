package mintpick.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import mintpick.core.Micros
import net.peanuuutz.tomlkt.Toml
import java.nio.file.Files
import java.nio.file.Path
import kotlin.math.roundToLong

/** A setting that is missing, malformed or out of range; the message is one line that names it. */
class ConfigException(
    message: String,
) : Exception(message)

/** The file that the platform hands over, as it is written. */
@Serializable
data class PlatformFile(
    val node: String,
    @SerialName("domain") val zone: String,
    @SerialName("api_addr") val apiAddress: String,
    @SerialName("mesh_addr") val meshAddress: String,
    val peers: List<PeerEntry> = emptyList(),
    val endpoints: Endpoints,
    val settings: Body,
) {
    @Serializable
    data class PeerEntry(
        val node: String,
        @SerialName("domain") val zone: String,
        @SerialName("addr") val address: String,
    )

    @Serializable
    data class Endpoints(
        val cloud: String,
        val state: String,
    )

    @Serializable
    data class Body(
        val zones: List<String>,
        @SerialName("clock_error_ms") val clockErrorMs: Double = 0.0,
        val teams: List<TeamEntry>,
        val objectives: List<Objective> = emptyList(),
        val workers: Workers,
        val state: State,
        val cloud: Cloud,
        val resources: Resources,
    )

    @Serializable
    data class TeamEntry(
        val name: String,
        val cpus: Double = 0.0,
        @SerialName("cpus_max") val cpusMax: Double = 0.0,
        val gpus: Double = 0.0,
        @SerialName("gpus_max") val gpusMax: Double = 0.0,
    )

    @Serializable
    data class Objective(
        val kind: String,
        @SerialName("class") val jobClass: String? = null,
        @SerialName("within_s") val withinS: Double = 0.0,
        val share: Double = 0.0,
    )

    @Serializable
    data class Workers(
        @SerialName("report_s") val reportS: Double,
        @SerialName("lease_s") val leaseS: Double,
        @SerialName("cancel_s") val cancelS: Double,
    )

    @Serializable
    data class State(
        val rps: Double,
        @SerialName("write_rps") val writeRps: Double,
        @SerialName("value_kb") val valueKb: Double,
        @SerialName("txn_ops") val transactionOps: Int,
        val next: NextState? = null,
    )

    /** Limits that the state service will have from some moment after the upgrade on; absent: as they are. */
    @Serializable
    data class NextState(
        val rps: Double? = null,
        @SerialName("write_rps") val writeRps: Double? = null,
        @SerialName("value_kb") val valueKb: Double? = null,
        @SerialName("txn_ops") val transactionOps: Int? = null,
    )

    @Serializable
    data class Cloud(
        val rps: Double,
        @SerialName("list_lag_s") val listLagS: Double,
    )

    @Serializable
    data class Resources(
        val cpu: Double = 1.0,
        @SerialName("mem_mb") val memoryMb: Double = 0.0,
        @SerialName("fd_limit") val maxConnections: Int = 0,
    )
}

/** Host and port of a listener or a server. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        fun parse(
            field: String,
            text: String,
        ): Address {
            val port = text.substringAfterLast(':', "").toIntOrNull()
            val host = text.substringBeforeLast(':', "")
            if (host.isEmpty() || port == null || port !in 1..MAX_PORT) throw ConfigException("$field: not host:port")
            return Address(host, port)
        }
    }
}

data class Peer(
    val node: String,
    val zone: String,
    val address: Address,
)

/** The checked settings of one controller. */
data class Settings(
    val node: String,
    val zone: String,
    val api: Address,
    val mesh: Address,
    val peers: List<Peer>,
    val cloud: Address,
    val state: Address,
    val zones: List<String>,
    val teams: List<PlatformFile.TeamEntry>,
    val objectives: List<PlatformFile.Objective>,
    val reportUs: Micros,
    val leaseUs: Micros,
    val cancelUs: Micros,
    /** What the state service takes now and later: the smaller of both limits of each kind. */
    val limits: PlatformFile.State,
    /** Size of a value that it takes until its limits are lowered, in KB. */
    val valueKbAtStart: Double,
    val cloudRps: Double,
    val listLagUs: Micros,
    val resources: PlatformFile.Resources,
) {
    companion object {
        private const val US = 1e6

        fun load(path: Path): Settings {
            val text =
                try {
                    Files.readString(path)
                } catch (e: java.io.IOException) {
                    throw ConfigException("$path: can't be read (${e.javaClass.simpleName})")
                }
            return parse(text)
        }

        fun parse(text: String): Settings {
            val file =
                try {
                    Toml { ignoreUnknownKeys = true }.decodeFromString(PlatformFile.serializer(), text)
                } catch (e: SerializationException) {
                    throw ConfigException("settings: ${oneLine(e)}")
                } catch (e: IllegalArgumentException) {
                    throw ConfigException("settings: ${oneLine(e)}")
                }
            return check(file)
        }

        private fun oneLine(e: Exception): String = (e.message ?: e.javaClass.simpleName).lineSequence().joinToString(" ") { it.trim() }

        private fun check(file: PlatformFile): Settings {
            val body = file.settings
            if (file.node.isBlank()) throw ConfigException("node: empty")
            if (body.zones.isEmpty()) throw ConfigException("settings.zones: empty")
            if (body.teams
                    .map { it.name }
                    .toSet()
                    .size != body.teams.size
            ) {
                throw ConfigException("settings.teams: a name stands twice")
            }
            body.teams.forEach { team ->
                listOf(team.cpus, team.cpusMax, team.gpus, team.gpusMax).forEach {
                    if (!it.isFinite() || it < 0) throw ConfigException("settings.teams: ${team.name}: not an amount")
                }
            }
            if (body.workers.cancelS <= body.workers.leaseS) throw ConfigException("settings.workers.cancel_s: must exceed lease_s")
            return Settings(
                node = file.node,
                zone = file.zone,
                api = Address.parse("api_addr", file.apiAddress),
                mesh = Address.parse("mesh_addr", file.meshAddress),
                peers = file.peers.map { Peer(it.node, it.zone, Address.parse("peers.addr", it.address)) },
                cloud = Address.parse("endpoints.cloud", file.endpoints.cloud),
                state = Address.parse("endpoints.state", file.endpoints.state),
                zones = body.zones,
                teams = body.teams,
                objectives = body.objectives,
                reportUs = micros("settings.workers.report_s", body.workers.reportS),
                leaseUs = micros("settings.workers.lease_s", body.workers.leaseS),
                cancelUs = micros("settings.workers.cancel_s", body.workers.cancelS),
                limits = lowest(checked("settings.state", body.state), body.state.next),
                valueKbAtStart = body.state.valueKb,
                cloudRps = positive("settings.cloud.rps", body.cloud.rps),
                listLagUs = micros("settings.cloud.list_lag_s", body.cloud.listLagS),
                resources = body.resources,
            )
        }

        private fun checked(
            field: String,
            limits: PlatformFile.State,
        ): PlatformFile.State {
            positive("$field.rps", limits.rps)
            positive("$field.write_rps", limits.writeRps)
            positive("$field.value_kb", limits.valueKb)
            if (limits.transactionOps < 1) throw ConfigException("$field.txn_ops: must be at least 1")
            return limits
        }

        private fun lowest(
            now: PlatformFile.State,
            next: PlatformFile.NextState?,
        ): PlatformFile.State {
            if (next == null) return now
            val later =
                PlatformFile.State(
                    next.rps ?: now.rps,
                    next.writeRps ?: now.writeRps,
                    next.valueKb ?: now.valueKb,
                    next.transactionOps ?: now.transactionOps,
                )
            checked("settings.state.next", later)
            return PlatformFile.State(
                minOf(now.rps, later.rps),
                minOf(now.writeRps, later.writeRps),
                minOf(now.valueKb, later.valueKb),
                minOf(now.transactionOps, later.transactionOps),
            )
        }

        private fun positive(
            field: String,
            value: Double,
        ): Double {
            if (!value.isFinite() || value <= 0) throw ConfigException("$field: must be a positive number")
            return value
        }

        private fun micros(
            field: String,
            seconds: Double,
        ): Micros = (positive(field, seconds) * US).roundToLong()
    }
}
