package mintpick.cli

import mintpick.config.Address
import mintpick.net.JdkServer
import mintpick.wire.MAX_BODY_BYTES
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.atomic.AtomicLong

/**
 * Fake state store, cloud and agent at one address, for [ClassDataTraining]. The store is empty and accepts every write. The cloud
 * has one machine type and rents out one machine. The answers are well formed, but need not be consistent with each other.
 */
internal class FakeServices(
    address: Address,
) : AutoCloseable {
    private val server = JdkServer(address, THREADS, MAX_BODY_BYTES)
    private val revision = AtomicLong(1)

    /**
     * Binds the address and serves requests until [close].
     *
     * @throws java.io.IOException if the address cannot be bound
     */
    fun start() = server.start { request, respond -> respond(answer(request)) }

    override fun close() = server.stop()

    private fun answer(request: Request): Response =
        Response(Status.OK).header("Content-Type", "application/json").body(bodyFor(request.method, request.uri.path))

    private fun bodyFor(
        method: Method,
        path: String,
    ): String =
        when {
            path == "/keys" -> """{"pairs":[],"has_next":false,"ledger_rev":$revision}"""
            path == "/multi" -> """{"ledger_rev":${revision.incrementAndGet()}}"""
            path == "/follow" -> """{"ledger_rev":$revision,"log":[]}"""
            path.startsWith("/leases") -> """{"tenure":1}"""
            path == "/machine_types" -> MACHINE_TYPES
            path == "/rentals" && method == Method.GET -> """{"pickers":[],"has_next":false}"""
            else -> """{"pickers":["host-000001"]}"""
        }

    private companion object {
        const val THREADS = 2
        const val MACHINE_TYPES =
            """{"breeds":[{"name":"m","vcpus":8,"cards":0,"mem_gb":32,"local_gb":30,"pull_gb_per_s":1,""" +
                """"rate":1,"spot_price":0.3,"startup_s":10,"plots":["z"]}]}"""
    }
}
