package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Helpers for HTTP servers and calls of the stand-ins. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();
    static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .executor(THREADS)
                    .build();

    private Http() {}

    /** Handles one exchange. */
    interface Handler {
        void handle(HttpExchange exchange) throws Exception;
    }

    /** An answer: status 0 means that none arrived. */
    record Answer(int status, String body) {}

    static HttpServer serve(String host, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 512);
        server.setExecutor(THREADS);
        server.createContext(
                "/",
                exchange -> {
                    try {
                        handler.handle(exchange);
                    } catch (Exception e) {
                        exchange.close();
                    }
                });
        server.start();
        return server;
    }

    static JsonNode body(HttpExchange exchange) throws IOException {
        return JSON.readTree(exchange.getRequestBody().readAllBytes());
    }

    static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(body);
            }
        }
        exchange.close();
    }

    static void answer(HttpExchange exchange, int status, String body) throws IOException {
        answer(exchange, status, body.getBytes(StandardCharsets.UTF_8));
    }

    static Answer call(
            String method, String address, String path, String host, String body, int timeoutMs) {
        try {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofMillis(timeoutMs))
                            .header("Content-Type", "application/json")
                            .header("X-Hickorycleat-Deadline-Ms", Integer.toString(timeoutMs));
            if (!host.isEmpty()) {
                request.header("Host", host);
            }
            request.method(
                    method,
                    body.isEmpty()
                            ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofString(body));
            HttpResponse<String> response =
                    CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }
}
