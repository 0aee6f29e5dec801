import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Servers and clients of the stand-ins. */
final class Http {
    static {
        // Without it an answer of two packets waits for an acknowledgement.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    /** Threads of all servers; each waiting request holds one. */
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });

    /** A request that a stand-in has received. */
    static final class Request {
        final String method;
        final String path;
        final String query;
        final byte[] bytes;
        final HttpExchange exchange;

        Request(HttpExchange exchange) throws IOException {
            this.exchange = exchange;
            method = exchange.getRequestMethod();
            path = exchange.getRequestURI().getRawPath();
            query = exchange.getRequestURI().getRawQuery() == null ? "" : exchange.getRequestURI().getRawQuery();
            bytes = exchange.getRequestBody().readAllBytes();
        }

        String body() {
            return new String(bytes, StandardCharsets.UTF_8);
        }

        String parameter(String name, String otherwise) {
            for (String pair : query.split("&")) {
                if (pair.startsWith(name + "=")) return pair.substring(name.length() + 1);
            }
            return otherwise;
        }

        void reply(int status, String body) {
            try {
                byte[] out = body.getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().add("Content-Type", "application/json");
                exchange.sendResponseHeaders(status, out.length);
                exchange.getResponseBody().write(out);
            } catch (IOException e) {
                // The client has gone.
            } finally {
                exchange.close();
            }
        }

        /** Ends the connection without an answer. */
        void drop() {
            exchange.close();
        }
    }

    interface Handler {
        void handle(Request request) throws Exception;
    }

    /** Starts a server on a free port of the loopback address [host]. */
    static HttpServer serve(String host, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            Request request = new Request(exchange);
            try {
                handler.handle(request);
            } catch (Exception e) {
                Record.line("stand-in failed: " + e);
                request.drop();
            }
        });
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** An answer; status 0 stands for none. */
    static final class Answer {
        final int status;
        final String body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body;
        }

        @Override
        public String toString() {
            String shown = body.length() > 160 ? body.substring(0, 160) + "..." : body;
            return status == 0 ? "no answer (" + shown + ")" : status + " " + shown;
        }
    }

    /** One client, like one user or worker: its connections are its own. */
    static HttpClient client() {
        return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).executor(THREADS).build();
    }

    static Answer call(HttpClient client, String method, String url, String body, double timeoutS) {
        HttpRequest.BodyPublisher publisher = body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofMillis((long) (timeoutS * 1000)))
                .header("Content-Type", "application/json").method(method, publisher).build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, e.getClass().getSimpleName());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }
}
