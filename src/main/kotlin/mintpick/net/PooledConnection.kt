package mintpick.net

import mintpick.core.MILLI
import org.apache.hc.core5.http.ContentType
import org.apache.hc.core5.http.config.Http1Config
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection
import org.apache.hc.core5.http.io.entity.ByteArrayEntity
import org.apache.hc.core5.http.io.entity.EntityUtils
import org.apache.hc.core5.http.message.BasicClassicHttpRequest
import org.apache.hc.core5.io.CloseMode
import org.apache.hc.core5.util.Timeout
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** One open connection to a server, used by one call at a time. */
internal class PooledConnection private constructor(
    private val address: String,
    private val connection: DefaultBHttpClientConnection,
) {
    /** Whether the server keeps it open for another call. */
    var isKept = true
        private set
    var idleSinceNs = 0L

    /** Sends [call] and reads the answer; an exception leaves open whether it was executed. */
    fun exchange(call: Call): Outcome.Answered {
        isKept = false
        connection.setSocketTimeout(Timeout.ofMilliseconds(call.timeoutUs / MILLI))
        val request = BasicClassicHttpRequest(call.method, call.path)
        request.addHeader("Host", address)
        val body = call.body
        if (body != null) {
            request.addHeader("Content-Type", call.contentType)
            request.addHeader("Content-Length", body.size)
            request.entity = ByteArrayEntity(body, ContentType.parse(call.contentType))
        } else if (call.method != "GET") {
            request.addHeader("Content-Length", 0)
        }
        connection.sendRequestHeader(request)
        if (body != null) connection.sendRequestEntity(request)
        connection.flush()
        val response = connection.receiveResponseHeader()
        connection.receiveResponseEntity(response)
        val answer = response.entity?.let { EntityUtils.toByteArray(it, MAX_ANSWER_BYTES) } ?: ByteArray(0)
        isKept = response.getFirstHeader("Connection")?.value?.equals("close", ignoreCase = true) != true && answer.size < MAX_ANSWER_BYTES
        return Outcome.Answered(response.code, answer)
    }

    fun close() {
        try {
            // At once: waiting for what a lost machine may still send would hold the caller's thread.
            connection.close(CloseMode.IMMEDIATE)
        } catch (_: IOException) {
            return
        }
    }

    companion object {
        private const val BUFFER_BYTES = 2048

        /** Above the largest page or watch of the state service; what is longer is cut off and so malformed. */
        private const val MAX_ANSWER_BYTES = 16 * 1024 * 1024
        private val CONFIG = Http1Config.custom().setBufferSize(BUFFER_BYTES).build()

        fun open(
            address: String,
            timeoutMs: Int,
        ): PooledConnection {
            val socket = Socket()
            try {
                socket.tcpNoDelay = true
                socket.connect(InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt()), timeoutMs)
                return PooledConnection(address, DefaultBHttpClientConnection(CONFIG).apply { bind(socket) })
            } catch (e: IOException) {
                socket.close()
                throw e
            }
        }
    }
}

/** Connections that wait for their next call: the latest used first, each for a few seconds. */
internal class IdleLines(
    private val nowNs: () -> Long = System::nanoTime,
) {
    private val byAddress = ConcurrentHashMap<String, ConcurrentLinkedDeque<PooledConnection>>()
    private val given = AtomicInteger()

    fun take(address: String): PooledConnection? {
        val lines = byAddress[address] ?: return null
        while (true) {
            val line = lines.pollFirst() ?: return null
            if (nowNs() - line.idleSinceNs < KEEP_NS) return line
            line.close()
        }
    }

    fun give(
        address: String,
        line: PooledConnection,
    ) {
        line.idleSinceNs = nowNs()
        // In one step with the removal of what is empty: a line put into a removed queue would never be closed.
        byAddress.compute(address) { _, lines -> (lines ?: ConcurrentLinkedDeque()).apply { addFirst(line) } }
        if (given.incrementAndGet() % CLEAN_EVERY == 0) clean()
    }

    /** Closes what nobody has asked for: a fleet's worth of idle connections would use up the sockets. */
    private fun clean() {
        val now = nowNs()
        for ((address, lines) in byAddress) {
            while (true) {
                val oldest = lines.peekLast() ?: break
                if (now - oldest.idleSinceNs < KEEP_NS || !lines.remove(oldest)) break
                oldest.close()
            }
            if (lines.isEmpty()) byAddress.computeIfPresent(address) { _, left -> left.takeIf { it.isNotEmpty() } }
        }
    }

    private companion object {
        val KEEP_NS: Long = TimeUnit.SECONDS.toNanos(5)
        const val CLEAN_EVERY = 64
    }
}
