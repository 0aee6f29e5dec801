package mintpick.soak

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.testing.SampleJobs

/**
 * Settings of the controllers in a soak run. By default times are short, so that a run of a minute covers many leases.
 *
 * @param maxSockets the controllers' limit of open sockets
 */
internal class SoakSettings(
    val heartbeatIntervalUs: Micros = SECOND,
    val leaseUs: Micros = 10 * SECOND,
    val cancelUs: Micros = 24 * SECOND,
    val maxSockets: Int = 1800,
) {
    /** Addresses of one controller. */
    class Addresses(
        val api: String,
        val peerApi: String,
        val state: String,
    )

    /** The settings file of controller [index]; [addresses] are those of all controllers. */
    fun toml(
        index: Int,
        addresses: List<Addresses>,
        cloud: String,
    ): String {
        val own = addresses[index]
        val withPeers =
            addresses.indices.fold(SampleJobs.toml(index, RED_CPUS_MAX, addresses.size)) { text, i ->
                text.replace("\"10.0.0.${i + 1}:8081\"", "\"${addresses[i].peerApi}\"")
            }
        return withPeers
            .replace("\"10.0.0.${index + 1}:8080\"", "\"${own.api}\"")
            .replace("\"10.2.0.2:8443\"", "\"$cloud\"")
            .replace("\"10.2.0.1:2379\"", "\"${own.state}\"")
            .replace("report_s = 3.0", "report_s = ${heartbeatIntervalUs.toDouble() / SECOND}")
            .replace("lease_s = 18.0", "lease_s = ${leaseUs.toDouble() / SECOND}")
            .replace("cancel_s = 43.0", "cancel_s = ${cancelUs.toDouble() / SECOND}")
            .replace("list_lag_s = 2.0", "list_lag_s = 3.0")
            .replace("fd_limit = 1800", "fd_limit = $maxSockets")
    }

    companion object {
        const val RED_CPUS_MAX = 40.0
    }
}
