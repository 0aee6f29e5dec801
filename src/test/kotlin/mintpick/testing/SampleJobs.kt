package mintpick.testing

import mintpick.config.Settings
import mintpick.wire.JobKind
import mintpick.wire.JobSpec
import mintpick.wire.Priority

/** Settings and jobs shared by tests. */
object SampleJobs {
    /** Settings file of controller [index] of [controllers]; [cpusMax] is the limit of team `red`. */
    fun toml(
        index: Int = 0,
        cpusMax: Double = 24.0,
        controllers: Int = 3,
    ): String {
        val peers =
            (0 until controllers).filter { it != index }.joinToString("\n") {
                """
                [[peers]]
                node = "node-$it"
                domain = "${zoneOf(it)}"
                addr = "10.0.0.${it + 1}:8081"
                """.trimIndent()
            }
        return """
            node = "node-$index"
            domain = "${zoneOf(index)}"
            api_addr = "10.0.0.${index + 1}:8080"
            mesh_addr = "10.0.0.${index + 1}:8081"
            something_new = 7
            """.trimIndent() + "\n" + peers + "\n" +
            """
            [endpoints]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"

            [settings]
            initial_size = $controllers
            zones = ["north", "south"]
            clock_error_ms = 100.0

            [[settings.teams]]
            name = "red"
            cpus = 8.0
            cpus_max = $cpusMax

            [[settings.teams]]
            name = "blue"

            [settings.workers]
            report_s = 3.0
            lease_s = 18.0
            cancel_s = 43.0

            [settings.state]
            rps = 100.0
            write_rps = 40.0
            value_kb = 32.0
            txn_ops = 16

            [settings.cloud]
            rps = 8.0
            list_lag_s = 2.0

            [settings.resources]
            cpu = 0.4
            mem_mb = 210.0
            fd_limit = 1800
            """.trimIndent()
    }

    /** Zone of controller [index]: one of three, or half of more, is in the south. */
    private fun zoneOf(index: Int): String = if (index % 2 == 1) "south" else "north"

    /** [toml] with other limits of the state store, where not null. */
    fun withStateLimits(
        toml: String,
        writesPerSecond: Double? = null,
        valueKb: Double? = null,
        changes: Int? = null,
    ): String =
        toml
            .replace("write_rps = 40.0", "write_rps = ${writesPerSecond ?: 40.0}")
            .replace("value_kb = 32.0", "value_kb = ${valueKb ?: 32.0}")
            .replace("txn_ops = 16", "txn_ops = ${changes ?: 16}")

    fun settings(
        index: Int = 0,
        cpusMax: Double = 24.0,
    ): Settings = Settings.parse(toml(index, cpusMax))

    fun spec(
        id: String = "req-000001",
        team: String = "red",
        tasks: Int = 3,
        kind: JobKind = JobKind.ARRAY,
        priority: Priority = Priority.NORMAL,
        cpus: Double = 2.0,
        spot: Boolean = true,
        spread: Boolean = false,
        oneZone: Boolean = false,
        zone: String? = null,
        estimateS: Double = 10.0,
    ) = JobSpec(
        id,
        if (kind == JobKind.ARRAY) "batch" else "front",
        team,
        kind,
        priority,
        tasks,
        cpus,
        0.0,
        cpus * 3,
        "img-1",
        1.0,
        null,
        zone,
        oneZone,
        spread,
        spot,
        if (kind == JobKind.SERVICE) 0.0 else estimateS,
        0.0,
        0.0,
        null,
    )

    /** Service job number [n], which runs on on-demand machines only. */
    fun service(
        n: Int,
        team: String = "red",
        tasks: Int = 2,
        cpus: Double = 1.0,
        spread: Boolean = false,
    ) = spec("req-%06d".format(n), team, tasks, JobKind.SERVICE, Priority.PRODUCTION, cpus, spot = false, spread = spread)
}
