package mintpick.soak

import mintpick.core.Micros
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.CompletionHandler
import java.nio.channels.ShutdownChannelGroupException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** A request to a controller. */
internal class SoakRequest(
    val method: String,
    val path: String,
    val body: String? = null,
)

/** An answer of a controller. */
internal class SoakAnswer(
    val status: Int,
    val body: String,
)

/**
 * Opens connections that their owners keep, as those of a real service do. A few threads serve any number of connections.
 *
 * @param accepts whether the process at an address has a free socket; the platform refuses connections to one that has none
 */
internal class SocketClient(
    private val timer: ScheduledExecutorService,
    private val accepts: (address: String) -> Boolean,
) : AutoCloseable {
    private val group =
        AsynchronousChannelGroup.withFixedThreadPool(THREADS) { task -> Thread(task, "soak-socket").apply { isDaemon = true } }

    /** Connects to [address], host and port; [then] receives the connection, or null if there is none within [timeoutUs]. */
    fun connect(
        address: String,
        timeoutUs: Micros,
        then: (SocketConnection?) -> Unit,
    ) {
        if (!accepts(address)) return then(null)
        val channel = AsynchronousSocketChannel.open(group)
        val isDecided = AtomicBoolean()
        val decide = { connection: SocketConnection? ->
            if (isDecided.compareAndSet(false, true)) {
                if (connection == null) channel.close()
                then(connection)
            }
        }
        val remote = InetSocketAddress(address.substringBefore(':'), address.substringAfter(':').toInt())
        channel.connect(remote, Unit, handler({ decide(SocketConnection(channel, timer, address)) }) { decide(null) })
        timer.after(timeoutUs) { decide(null) }
    }

    /**
     * Sends one request to [address] on a connection of its own, which may take up to [connectTimeoutUs] to open; [then] receives the
     * answer, or null if there is none within [timeoutUs].
     */
    fun sendOnce(
        address: String,
        request: SoakRequest,
        timeoutUs: Micros,
        connectTimeoutUs: Micros = timeoutUs,
        then: (SoakAnswer?) -> Unit,
    ) = connect(address, connectTimeoutUs) { connection ->
        if (connection == null) return@connect then(null)
        connection.send(request.method, request.path, request.body, timeoutUs) { answer ->
            connection.close()
            then(answer)
        }
    }

    override fun close() = group.shutdownNow()

    private companion object {
        const val THREADS = 6
    }
}

/** An open HTTP connection to [address], used for one request at a time. */
internal class SocketConnection(
    private val channel: AsynchronousSocketChannel,
    private val timer: ScheduledExecutorService,
    val address: String,
) : AutoCloseable {
    private val received = StringBuilder()
    private val buffer = ByteBuffer.allocate(BUFFER_BYTES)

    /** Whether neither side is known to have closed the connection. */
    val isOpen: Boolean get() = channel.isOpen

    /** Sends a request; [then] receives the answer, or null if there is none within [timeoutUs], which closes the connection. */
    fun send(
        method: String,
        path: String,
        body: String?,
        timeoutUs: Micros,
        then: (SoakAnswer?) -> Unit,
    ) {
        val length = body?.encodeToByteArray()?.size ?: 0
        val request = "$method $path HTTP/1.1\r\nHost: $address\r\nContent-Length: $length\r\n\r\n${body.orEmpty()}"
        received.clear()
        val isDecided = AtomicBoolean()
        val decide = { answer: SoakAnswer? ->
            if (isDecided.compareAndSet(false, true)) {
                if (answer == null) close()
                then(answer)
            }
        }
        // The time-outs of single reads and writes below could add up to more.
        timer.after(timeoutUs) { decide(null) }
        write(ByteBuffer.wrap(request.encodeToByteArray()), timeoutUs, decide)
    }

    private fun write(
        bytes: ByteBuffer,
        timeoutUs: Micros,
        decide: (SoakAnswer?) -> Unit,
    ): Unit =
        orNull(decide) {
            channel.write(
                bytes,
                timeoutUs,
                TimeUnit.MICROSECONDS,
                Unit,
                handler({ if (bytes.hasRemaining()) write(bytes, timeoutUs, decide) else read(timeoutUs, decide) }) { decide(null) },
            )
        }

    private fun read(
        timeoutUs: Micros,
        decide: (SoakAnswer?) -> Unit,
    ): Unit =
        orNull(decide) {
            buffer.clear()
            channel.read(
                buffer,
                timeoutUs,
                TimeUnit.MICROSECONDS,
                Unit,
                handler({ count ->
                    if (count < 0) {
                        decide(null)
                    } else {
                        // Answers are ASCII.
                        received.append(String(buffer.array(), 0, count, Charsets.ISO_8859_1))
                        val answer = answerOrNull()
                        if (answer == null) read(timeoutUs, decide) else decide(answer)
                    }
                }) { decide(null) },
            )
        }

    /** The answer once all of it has been received. Closes the connection if the server asks for it. */
    private fun answerOrNull(): SoakAnswer? {
        val headEnd = received.indexOf("\r\n\r\n")
        if (headEnd < 0) return null
        val head = received.substring(0, headEnd).split("\r\n")
        val headers = head.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val bodyStart = headEnd + HEAD_END_LENGTH
        if (received.length - bodyStart < (headers["content-length"]?.toInt() ?: 0)) return null
        if (headers["connection"].equals("close", ignoreCase = true)) close()
        return SoakAnswer(head.first().split(' ')[1].toInt(), received.substring(bodyStart))
    }

    private fun orNull(
        decide: (SoakAnswer?) -> Unit,
        action: () -> Unit,
    ) {
        try {
            action()
        } catch (_: IOException) {
            decide(null)
        } catch (_: ShutdownChannelGroupException) {
            // The run is over.
        }
    }

    override fun close() = channel.close()

    private companion object {
        const val BUFFER_BYTES = 4096
        const val HEAD_END_LENGTH = 4
    }
}

private fun <V> handler(
    onResult: (V) -> Unit,
    onFailure: () -> Unit,
) = object : CompletionHandler<V, Unit> {
    override fun completed(
        result: V,
        attachment: Unit,
    ) = onResult(result)

    override fun failed(
        cause: Throwable,
        attachment: Unit,
    ) = onFailure()
}
