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
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/** One open connection to a server. Used by one call at a time, and so by one thread at a time. */
internal class PooledConnection private constructor(
    private val address: String,
    private val connection: DefaultBHttpClientConnection,
) : AutoCloseable {
    /** Whether the connection can be used for another call. */
    var isReusable = true
        private set

    /** Time at which the connection became idle, in nanoseconds of the monotonic clock. */
    var idleSinceNs = 0L

    /**
     * Sends [call] and reads the answer, of which at most [maxAnswerBytes] bytes are kept. After an exception it is unknown whether the call was executed.
     *
     * @throws IOException if the connection fails or the answer times out
     * @throws org.apache.hc.core5.http.HttpException if the answer is malformed
     */
    fun exchange(
        call: Call,
        maxAnswerBytes: Int,
    ): Outcome.Answered {
        isReusable = false
        connection.setSocketTimeout(Timeout.ofMilliseconds(call.timeoutUs / MILLI))
        val request = requestOf(call)
        connection.sendRequestHeader(request)
        if (call.body != null) connection.sendRequestEntity(request)
        connection.flush()
        val response = connection.receiveResponseHeader()
        connection.receiveResponseEntity(response)
        val answer = response.entity?.let { EntityUtils.toByteArray(it, maxAnswerBytes + 1) } ?: ByteArray(0)
        val closes = response.getFirstHeader("Connection")?.value?.equals("close", ignoreCase = true) == true
        if (answer.size > maxAnswerBytes) {
            // The rest of the answer is still unread on the connection.
            return Outcome.Answered(response.code, ByteArray(0), isTooLong = true)
        }
        isReusable = !closes
        return Outcome.Answered(response.code, answer)
    }

    private fun requestOf(call: Call): BasicClassicHttpRequest {
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
        return request
    }

    /** Closes the connection immediately: waiting for data from a failed machine would block the caller's thread. Never throws. */
    override fun close() {
        try {
            connection.close(CloseMode.IMMEDIATE)
        } catch (e: IOException) {
            LOG.debug("connection not closed cleanly address={}", address, e)
        }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(PooledConnection::class.java)
        private const val BUFFER_BYTES = 2048
        private val CONFIG = Http1Config.custom().setBufferSize(BUFFER_BYTES).build()

        /**
         * Connects to [address], `host:port`, within [timeoutMs] milliseconds.
         *
         * @throws IOException if the connection cannot be established
         * @throws IllegalArgumentException if [address] is malformed
         */
        fun open(
            address: String,
            timeoutMs: Int,
        ): PooledConnection {
            // Parsed before the socket is opened, because a malformed address would otherwise leak it.
            val remote = InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
            val socket = Socket()
            try {
                socket.tcpNoDelay = true
                socket.connect(remote, timeoutMs)
                return PooledConnection(address, DefaultBHttpClientConnection(CONFIG).apply { bind(socket) })
            } catch (e: IOException) {
                socket.close()
                throw e
            }
        }
    }
}
