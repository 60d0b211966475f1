import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Starts servers and sends responses. */
final class Http {
    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private Http() {}

    static HttpServer serve(InetSocketAddress address, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(address, 256);
        server.setExecutor(THREADS);
        server.createContext(
                "/",
                exchange -> {
                    try {
                        handler.handle(exchange);
                    } catch (IOException e) {
                        exchange.close();
                    } catch (RuntimeException e) {
                        e.printStackTrace();
                        exchange.close();
                    }
                });
        server.start();
        return server;
    }

    static void respond(HttpExchange exchange, int status, String body) throws IOException {
        respond(exchange, status, body.getBytes(StandardCharsets.UTF_8));
    }

    static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }
}
