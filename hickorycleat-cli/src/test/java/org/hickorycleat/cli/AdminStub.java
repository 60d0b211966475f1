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

/** Stub of the admin HTTP server that returns a fixed response for each method and path. */
final class AdminStub implements AutoCloseable {
    private final Map<String, String> mResponses = new ConcurrentHashMap<>();
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

    AdminStub respondTo(String methodAndPath, String json) {
        mResponses.put(methodAndPath, json);
        return this;
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String key = exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
        String response = mResponses.get(key);
        String notFound =
                "{\"error\":{\"number\":607,\"name\":\"NOT_FOUND\",\"detail\":\"no item\"}}";
        byte[] body = (response == null ? notFound : response).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(response == null ? 404 : 200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
