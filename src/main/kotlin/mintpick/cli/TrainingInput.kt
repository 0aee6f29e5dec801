package mintpick.cli

import java.net.ServerSocket

/** Local ports used by [ClassDataTraining]: the two ports of the service, and the port of [FakeServices]. */
internal data class TrainingPorts(
    val api: Int,
    val peerApi: Int,
    val services: Int,
) {
    companion object {
        /**
         * Finds free ports. Another process may still bind one of them before it is used.
         *
         * @throws java.io.IOException if there are not enough free ports
         */
        fun free(): TrainingPorts =
            // The sockets are open at the same time, so the ports differ.
            ServerSocket(0).use { api ->
                ServerSocket(0).use { peerApi ->
                    ServerSocket(0).use { services -> TrainingPorts(api.localPort, peerApi.localPort, services.localPort) }
                }
            }
    }
}

/** A request as sent by users, agents or health checks. A null [body] means a request without body. */
internal data class TrainingRequest(
    val method: String,
    val path: String,
    val body: String? = null,
) {
    companion object {
        private const val SUBMISSION =
            """{"id":"req-000001","sort":"s","crew":"t","shape":"array","rank":"normal","pieces":2,""" +
                """"vcpus":1.0,"cards":0.0,"mem_gb":1.0,"bundle":"i","pull_gb":1.0,"breeds":null,"plot":null,""" +
                """"together":false,"spread":false,"windfall":true,"guess_s":5.0,"mark_every_s":0.0,"mark_cost_s":0.0,"due_s":null}"""
        private const val HEARTBEAT =
            """{"picker":"host-000001","endpoint":"127.0.0.1:1","breed":"m","plot":"z","windfall":true,"shift":1,"tally":1,""" +
                """"baton":0,"warning_s":null,"pieces":[]}"""

        /** One request of each kind, in sending order. */
        val ALL =
            listOf(
                TrainingRequest("GET", "/up"),
                TrainingRequest("POST", "/api/jobs", SUBMISSION),
                TrainingRequest("GET", "/api/jobs/req-000001"),
                TrainingRequest("POST", "/api/jobs/req-000002/cancel", ""),
                TrainingRequest("POST", "/checkin", HEARTBEAT),
            )
    }
}

/** Returns a settings file like the platform's, with the [ports] of this run and nearly every section that the parser accepts. */
internal fun trainingSettings(ports: TrainingPorts): String = addresses(ports) + "\n\n" + PLATFORM_SECTIONS

private fun addresses(ports: TrainingPorts): String =
    """
    node = "a"
    domain = "z"
    api_addr = "127.0.0.1:${ports.api}"
    mesh_addr = "127.0.0.1:${ports.peerApi}"

    [[peers]]
    node = "b"
    domain = "z"
    addr = "127.0.0.1:${ports.peerApi}"

    [endpoints]
    cloud = "127.0.0.1:${ports.services}"
    state = "127.0.0.1:${ports.services}"
    """.trimIndent()

private val PLATFORM_SECTIONS =
    """
    [settings]
    zones = ["z"]

    [[settings.teams]]
    name = "t"

    [[settings.objectives]]
    kind = "finished"
    class = "s"
    within_s = 5.0
    share = 0.9

    [settings.workers]
    report_s = 3.0
    lease_s = 18.0
    cancel_s = 43.0

    [settings.state]
    rps = 100.0
    write_rps = 25.0
    value_kb = 32.0
    txn_ops = 16

    [settings.cloud]
    rps = 8.0
    list_lag_s = 8.0

    [settings.resources]
    cpu = 1.0
    mem_mb = 210.0
    fd_limit = 1800
    """.trimIndent()
