import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP on loopback: servers of the stand-ins, and one request at a time as a client. */
final class Http {
    static final ExecutorService POOL =
        Executors.newCachedThreadPool(task -> {
            Thread t = new Thread(null, task, "stand-in", 256 * 1024);
            t.setDaemon(true);
            return t;
        });

    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    static final class Answer {
        final int status;
        final String body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body;
        }

        @Override
        public String toString() {
            return status + " " + body;
        }
    }

    /** Answers one request; null closes the connection without an answer. */
    interface Handler {
        Answer handle(String method, String path, String query, String body) throws Exception;
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
        server.setExecutor(POOL);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String query = exchange.getRequestURI().getRawQuery();
            Answer a = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query == null ? "" : query, body);
            if (a == null) return;
            byte[] bytes = a.body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(a.status, bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller has closed the connection.
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            exchange.close();
        }
    }

    /** Sends one request on a connection of its own; null if there is no complete answer within the time. */
    static Answer call(int port, String method, String path, String body, int timeoutMs) {
        long until = System.currentTimeMillis() + timeoutMs;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), Math.min(timeoutMs, 500));
            byte[] payload = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + payload.length + "\r\nConnection: close\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(payload);
            socket.getOutputStream().write(request.toByteArray());
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[8192];
            while (true) {
                long left = until - System.currentTimeMillis();
                if (left <= 0) return null;
                socket.setSoTimeout((int) left);
                int n = in.read(buffer);
                if (n < 0) break;
                response.write(buffer, 0, n);
            }
            String text = response.toString(StandardCharsets.UTF_8);
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) return null;
            int status = Integer.parseInt(text.substring(9, 12));
            return new Answer(status, text.substring(end + 4));
        } catch (IOException e) {
            return null;
        }
    }

    /** A loopback port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    /** A free port that no other socket gets by chance while its process is away: below those that the system hands out. */
    static int lastingPort() throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int port = 12_000 + ThreadLocalRandom.current().nextInt(16_000);
            if (!TAKEN.add(port)) continue;
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (IOException e) {
                // In use.
            }
        }
        throw new IOException("no free port");
    }
}
