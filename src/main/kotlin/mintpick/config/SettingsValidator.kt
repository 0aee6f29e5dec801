package mintpick.config

import mintpick.core.Micros
import mintpick.core.SECOND
import kotlin.math.roundToLong

/** Checks the platform's [file] and converts it to [Settings]; only the first fault found is reported. */
internal class SettingsValidator(
    private val file: PlatformFile,
) {
    private val body = file.settings

    /** @throws ConfigException naming the field that is out of range */
    fun validatedSettings(): Settings {
        checkNames()
        checkTeams()
        checkCancellationExceedsLease()
        return toSettings()
    }

    private fun checkNames() {
        if (file.node.isBlank()) throw ConfigException("node: empty")
        if (body.zones.isEmpty()) throw ConfigException("settings.zones: empty")
    }

    private fun checkTeams() {
        val names = body.teams.map { it.name }
        if (names.toSet().size != names.size) throw ConfigException("settings.teams: a name stands twice")
        body.teams.forEach(::checkAmounts)
    }

    private fun checkAmounts(team: PlatformFile.TeamEntry) {
        val amounts = listOf(team.cpus, team.cpusMax, team.gpus, team.gpusMax)
        if (amounts.any { !it.isFinite() || it < 0 }) throw ConfigException("settings.teams: ${team.name}: not an amount")
    }

    /** A machine that can't be reached keeps its tasks until its lease expires, so a cancellation takes at least that long. */
    private fun checkCancellationExceedsLease() {
        if (body.workers.cancelS <= body.workers.leaseS) throw ConfigException("settings.workers.cancel_s: must exceed lease_s")
    }

    private fun toSettings(): Settings =
        Settings(
            node = file.node,
            zone = file.zone,
            api = Address.parse("api_addr", file.apiAddress),
            peerApi = Address.parse("mesh_addr", file.peerApiAddress),
            peers = file.peers.map { Peer(it.node, it.zone, Address.parse("peers.addr", it.address)) },
            cloud = Address.parse("endpoints.cloud", file.endpoints.cloud),
            state = Address.parse("endpoints.state", file.endpoints.state),
            zones = body.zones,
            teams = body.teams,
            objectives = body.objectives,
            heartbeatIntervalUs = requirePositiveDuration("settings.workers.report_s", body.workers.heartbeatIntervalS),
            leaseUs = requirePositiveDuration("settings.workers.lease_s", body.workers.leaseS),
            cancelUs = requirePositiveDuration("settings.workers.cancel_s", body.workers.cancelS),
            limits = effectiveLimits(),
            valueKbAtStart = body.state.valueKb,
            cloudRps = requirePositive("settings.cloud.rps", body.cloud.rps),
            listLagUs = requirePositiveDuration("settings.cloud.list_lag_s", body.cloud.listLagS),
            resources = body.resources,
        )

    /** The smaller of the present and the announced limit of each kind: nobody says when the announced ones come into force. */
    private fun effectiveLimits(): PlatformFile.State {
        val current = body.state
        checkLimits("settings.state", current)
        val next = current.next ?: return current
        val announced =
            PlatformFile.State(
                rps = next.rps ?: current.rps,
                writeRps = next.writeRps ?: current.writeRps,
                valueKb = next.valueKb ?: current.valueKb,
                transactionOps = next.transactionOps ?: current.transactionOps,
            )
        checkLimits("settings.state.next", announced)
        return PlatformFile.State(
            rps = minOf(current.rps, announced.rps),
            writeRps = minOf(current.writeRps, announced.writeRps),
            valueKb = minOf(current.valueKb, announced.valueKb),
            transactionOps = minOf(current.transactionOps, announced.transactionOps),
        )
    }

    private fun checkLimits(
        field: String,
        limits: PlatformFile.State,
    ) {
        requirePositive("$field.rps", limits.rps)
        requirePositive("$field.write_rps", limits.writeRps)
        requirePositive("$field.value_kb", limits.valueKb)
        if (limits.transactionOps < 1) throw ConfigException("$field.txn_ops: must be at least 1")
    }

    private fun requirePositive(
        field: String,
        value: Double,
    ): Double {
        if (!value.isFinite() || value <= 0) throw ConfigException("$field: must be a positive number")
        return value
    }

    private fun requirePositiveDuration(
        field: String,
        seconds: Double,
    ): Micros = (requirePositive(field, seconds) * SECOND).roundToLong()
}
