package mintpick.config

import mintpick.core.Micros
import mintpick.core.SECOND
import kotlin.math.roundToLong

/** Checks the platform's [file] and converts it to [Settings]. Only the first error found is reported. */
internal class SettingsValidator(
    private val file: PlatformFile,
) {
    private val body = file.settings

    /**
     * Returns the checked settings.
     *
     * @throws ConfigException naming the first field that is malformed or out of range
     */
    fun validatedSettings(): Settings {
        checkNames()
        checkTeams()
        checkCancellationExceedsLease()
        checkSockets()
        return toSettings()
    }

    private fun checkNames() {
        if (file.node.isBlank()) throw ConfigException("node: ${file.node.quotedInOneLine()} must not be blank")
        if (body.zones.isEmpty()) throw ConfigException("settings.zones: ${body.zones} must list at least one zone")
    }

    private fun checkTeams() {
        val names = body.teams.map { it.name }
        val duplicate = names.firstOrNull { name -> names.count { it == name } > 1 }
        if (duplicate != null) {
            throw ConfigException("settings.teams: name ${duplicate.quotedInOneLine()} must be unique, but is used more than once")
        }
        body.teams.forEach(::checkAmounts)
    }

    private fun checkAmounts(team: PlatformFile.TeamEntry) {
        val amounts = mapOf("cpus" to team.cpus, "cpus_max" to team.cpusMax, "gpus" to team.gpus, "gpus_max" to team.gpusMax)
        for ((key, amount) in amounts) {
            if (!amount.isFinite() || amount < 0) {
                throw ConfigException("settings.teams: ${team.name.quotedInOneLine()}: $key: $amount must be a finite number of at least 0")
            }
        }
    }

    /** A machine that cannot be reached runs its tasks until its lease expires, so a cancellation can take at least that long. */
    private fun checkCancellationExceedsLease() {
        val workers = body.workers
        if (workers.cancelS <= workers.leaseS) {
            throw ConfigException("settings.workers.cancel_s: ${workers.cancelS} must be greater than lease_s (${workers.leaseS})")
        }
    }

    private fun checkSockets() {
        val sockets = body.resources.maxConnections
        if (sockets < SocketBudget.MIN_SOCKETS) {
            throw ConfigException("settings.resources.fd_limit: $sockets must be at least ${SocketBudget.MIN_SOCKETS}")
        }
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

    /** For each limit, the smaller of its current and its announced value: the time of the switch is not known in advance. */
    private fun effectiveLimits(): PlatformFile.State {
        val current = body.state
        checkLimits("settings.state", current)
        val next = current.next ?: return withinRate(current)
        val announced =
            PlatformFile.State(
                rps = next.rps ?: current.rps,
                writeRps = next.writeRps ?: current.writeRps,
                valueKb = next.valueKb ?: current.valueKb,
                transactionOps = next.transactionOps ?: current.transactionOps,
            )
        checkLimits("settings.state.next", announced)
        return withinRate(
            PlatformFile.State(
                rps = minOf(current.rps, announced.rps),
                writeRps = minOf(current.writeRps, announced.writeRps),
                valueKb = minOf(current.valueKb, announced.valueKb),
                transactionOps = minOf(current.transactionOps, announced.transactionOps),
            ),
        )
    }

    /** [limits] without transactions of more changes than the state store allows in a second, which it would always refuse. */
    private fun withinRate(limits: PlatformFile.State): PlatformFile.State =
        limits.copy(transactionOps = minOf(limits.transactionOps, limits.writeRps.toInt()))

    private fun checkLimits(
        field: String,
        limits: PlatformFile.State,
    ) {
        requirePositive("$field.rps", limits.rps)
        requirePositive("$field.value_kb", limits.valueKb)
        requirePositive("$field.write_rps", limits.writeRps)
        if (limits.writeRps < MIN_CHANGES) throw ConfigException("$field.write_rps: ${limits.writeRps} must be at least $MIN_CHANGES")
        if (limits.transactionOps <
            MIN_CHANGES
        ) {
            throw ConfigException("$field.txn_ops: ${limits.transactionOps} must be at least $MIN_CHANGES")
        }
    }

    private fun requirePositive(
        field: String,
        value: Double,
    ): Double {
        if (!value.isFinite() || value <= 0) throw ConfigException("$field: $value must be a finite number greater than 0")
        return value
    }

    private fun requirePositiveDuration(
        field: String,
        seconds: Double,
    ): Micros = (requirePositive(field, seconds) * SECOND).roundToLong()

    private companion object {
        /** Records that a placement may have to write together: a chunk, the main record and the team's reservation. */
        const val MIN_CHANGES = 3
    }
}
