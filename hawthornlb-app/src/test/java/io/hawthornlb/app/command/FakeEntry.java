package io.hawthornlb.app.command;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** HTTP server in place of an entry instance: returns prepared responses and records its calls. */
final class FakeEntry implements AutoCloseable {

  record Call(String method, String path, Map<String, List<String>> headers, String body) {

    String header(String name) {
      return headers.getOrDefault(name, List.of("")).get(0);
    }
  }

  private record Response(int status, String body, Map<String, String> headers) {}

  private final HttpServer server;
  private final Map<String, Response> responses = new HashMap<>();
  private final List<Call> calls = new CopyOnWriteArrayList<>();

  FakeEntry() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  void respond(String call, int status, String body, Map<String, String> headers) {
    responses.put(call, new Response(status, body, headers));
  }

  void respond(String call, int status, String body) {
    respond(call, status, body, Map.of());
  }

  Call lastCall() {
    return calls.get(calls.size() - 1);
  }

  private void handle(HttpExchange exchange) throws IOException {
    String target = URLDecoder.decode(exchange.getRequestURI().toString(), StandardCharsets.UTF_8);
    String call = exchange.getRequestMethod() + " " + target;
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    calls.add(
        new Call(
            exchange.getRequestMethod(),
            target,
            new HashMap<>(exchange.getRequestHeaders()),
            body));
    Response response = responses.getOrDefault(call, new Response(404, "not here", Map.of()));
    response.headers().forEach((name, value) -> exchange.getResponseHeaders().add(name, value));
    exchange.getResponseHeaders().add("Content-Type", "application/json");
    byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(response.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
