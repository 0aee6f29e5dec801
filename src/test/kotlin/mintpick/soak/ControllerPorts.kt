package mintpick.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicInteger

/**
 * Ports of controllers, below the range from which the system chooses ports. While a controller is down, no stand-in or client can
 * get its port, which would answer in its place and keep it from starting again.
 */
internal object ControllerPorts {
    private const val FIRST = 16_000
    private const val COUNT = 16_000
    private val taken = AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT))

    /** Host and port of a further controller. */
    fun take(): String {
        repeat(COUNT) {
            val port = FIRST + Math.floorMod(taken.getAndIncrement(), COUNT)
            if (isFree(port)) return "127.0.0.1:$port"
        }
        error("no free port from $FIRST on")
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
