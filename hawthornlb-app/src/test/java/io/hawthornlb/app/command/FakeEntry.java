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

/** An entry that gives prepared answers and keeps what it was asked. */
final class FakeEntry implements AutoCloseable {

  record Call(String method, String path, Map<String, List<String>> headers, String body) {

    String header(String name) {
      return headers.getOrDefault(name, List.of("")).get(0);
    }
  }

  private record Answer(int status, String body, Map<String, String> headers) {}

  private final HttpServer server;
  private final Map<String, Answer> answers = new HashMap<>();
  private final List<Call> calls = new CopyOnWriteArrayList<>();

  FakeEntry() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  void answer(String call, int status, String body, Map<String, String> headers) {
    answers.put(call, new Answer(status, body, headers));
  }

  void answer(String call, int status, String body) {
    answer(call, status, body, Map.of());
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
    Answer answer = answers.getOrDefault(call, new Answer(404, "not here", Map.of()));
    answer.headers().forEach((name, value) -> exchange.getResponseHeaders().add(name, value));
    exchange.getResponseHeaders().add("Content-Type", "application/json");
    byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(answer.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
