package mintpick.soak

import mintpick.core.Micros
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.time.temporal.ChronoUnit

/** An answer of a controller. */
internal class SoakAnswer(
    val status: Int,
    val body: String,
)

/** HTTP client of the users and agents. */
internal class SoakClient {
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build()

    /** Sends a POST; [then] receives the answer, or null if there is none within [timeoutUs]. */
    fun post(
        address: String,
        path: String,
        body: String,
        timeoutUs: Micros,
        then: (SoakAnswer?) -> Unit,
    ) = send(request(address, path, timeoutUs).POST(HttpRequest.BodyPublishers.ofString(body)).build(), then)

    /** Sends a GET; see [post]. */
    fun get(
        address: String,
        path: String,
        timeoutUs: Micros,
        then: (SoakAnswer?) -> Unit,
    ) = send(request(address, path, timeoutUs).GET().build(), then)

    private fun request(
        address: String,
        path: String,
        timeoutUs: Micros,
    ) = HttpRequest.newBuilder(URI("http://$address$path")).timeout(Duration.of(timeoutUs, ChronoUnit.MICROS))

    private fun send(
        request: HttpRequest,
        then: (SoakAnswer?) -> Unit,
    ) {
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete { response, _ ->
            then(response?.let { SoakAnswer(it.statusCode(), it.body()) })
        }
    }
}
