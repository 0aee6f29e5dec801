package mintpick.cli

import mintpick.config.Address
import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.engine.Engine
import mintpick.engine.EventLoop
import mintpick.engine.runtime.Event
import mintpick.net.Call
import mintpick.net.HttpCaller
import mintpick.net.JdkServer
import mintpick.net.Target
import mintpick.users.Routes
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.ServerSocket
import java.util.SplittableRandom
import java.util.concurrent.atomic.AtomicLong

/**
 * Runs the service against itself for a moment, so that a class-data archive made of it holds what a real
 * start loads. A third of a core makes loading classes the longest part of a cold start.
 */
object ClassDataTraining {
    private const val RUN_MS = 2_500L

    fun run() {
        val (api, mesh, outside) = List(3) { freePort() }
        val revision = AtomicLong(1)
        val fakeServices: HttpHandler = { request ->
            val path = request.uri.path
            val body =
                when {
                    path == "/keys" -> """{"pairs":[],"has_next":false,"ledger_rev":$revision}"""
                    path == "/multi" -> """{"ledger_rev":${revision.incrementAndGet()}}"""
                    path == "/follow" -> """{"ledger_rev":$revision,"log":[]}"""
                    path.startsWith("/leases") -> """{"tenure":1}"""
                    path == "/machine_types" ->
                        """{"breeds":[{"name":"m","vcpus":8,"cards":0,"mem_gb":32,"local_gb":30,"pull_gb_per_s":1,""" +
                            """"rate":1,"spot_price":0.3,"startup_s":10,"plots":["z"]}]}"""
                    path == "/rentals" && request.method.name == "GET" -> """{"pickers":[],"has_next":false}"""
                    else -> """{"pickers":["host-000001"]}"""
                }
            Response(Status.OK).header("Content-Type", "application/json").body(body)
        }
        JdkServer(Address("127.0.0.1", outside), 2).start { request, respond -> respond(fakeServices(request)) }
        val settings = Settings.parse(settings(api, mesh, outside))
        lateinit var eventLoop: EventLoop
        val caller = HttpCaller { id, outcome -> eventLoop.put(Event.CallDone(id, outcome)) }
        eventLoop =
            EventLoop(
                Engine(settings, Operators(), SplittableRandom(1)),
                caller::start,
                { System.nanoTime() / MILLI },
                { System.currentTimeMillis() * MILLI },
            )
        val routes = Routes(eventLoop::offer, eventLoop::isUp, 8) { System.nanoTime() / MILLI }
        JdkServer(settings.api, 4).start(routes.api)
        JdkServer(settings.mesh, 2).start(routes.mesh)
        Thread(eventLoop::run, "owner").apply { isDaemon = true }.start()
        val self = HttpCaller { _, _ -> }
        val target = Target.Peer("127.0.0.1:$api")
        repeat(4) {
            Thread.sleep(RUN_MS / 4)
            requests().forEach { (method, path, body) ->
                self.start(0, Call(target, method, path, body?.encodeToByteArray(), SECOND))
            }
        }
    }

    private fun requests(): List<Triple<String, String, String?>> =
        listOf(
            Triple("GET", "/up", null),
            Triple(
                "POST",
                "/api/jobs",
                """{"id":"req-000001","sort":"s","crew":"t","shape":"array","rank":"normal","pieces":2,""" +
                    """"vcpus":1.0,"cards":0.0,"mem_gb":1.0,"bundle":"i","pull_gb":1.0,"breeds":null,"plot":null,""" +
                    """"together":false,"spread":false,"windfall":true,"guess_s":5.0,"mark_every_s":0.0,"mark_cost_s":0.0,"due_s":null}""",
            ),
            Triple("GET", "/api/jobs/req-000001", null),
            Triple("POST", "/api/jobs/req-000002/cancel", ""),
            Triple(
                "POST",
                "/checkin",
                """{"picker":"host-000001","endpoint":"127.0.0.1:1","breed":"m","plot":"z","windfall":true,"shift":1,"tally":1,""" +
                    """"baton":0,"warning_s":null,"pieces":[]}""",
            ),
        )

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    private fun settings(
        api: Int,
        mesh: Int,
        outside: Int,
    ): String =
        """
        node = "a"
        domain = "z"
        api_addr = "127.0.0.1:$api"
        mesh_addr = "127.0.0.1:$mesh"

        [[peers]]
        node = "b"
        domain = "z"
        addr = "127.0.0.1:$mesh"

        [endpoints]
        cloud = "127.0.0.1:$outside"
        state = "127.0.0.1:$outside"

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
}
