package org.hickorycleat.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Admin HTTP that answers each method and path with a fixed text. */
final class AdminStub implements AutoCloseable {
    private final Map<String, String> mAnswers = new ConcurrentHashMap<>();
    private final HttpServer mServer;

    AdminStub() {
        try {
            mServer =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    AdminStub answer(String methodAndPath, String json) {
        mAnswers.put(methodAndPath, json);
        return this;
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String key = exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
        String answer = mAnswers.get(key);
        String none = "{\"error\":{\"number\":607,\"name\":\"NOT_FOUND\",\"detail\":\"no item\"}}";
        byte[] body = (answer == null ? none : answer).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(answer == null ? 404 : 200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
