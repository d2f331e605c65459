package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.hawthornlb.standin.engine.AnswerText;
import io.hawthornlb.standin.engine.ChatRequest;
import io.hawthornlb.standin.engine.Prompt;
import io.hawthornlb.standin.service.CallCounter;
import io.hawthornlb.standin.service.Echo;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A fake entry instance that answers at once, with the errors that the test asks for. */
final class FakeEntry implements AutoCloseable {

  /** An error that the fake entry instance makes. */
  enum Flaw {
    NONE,
    TRUNCATES_TEXT,
    CUTS_STREAM,
    DOUBLES_TOKEN,
    ANSWERS_ANOTHER,
    GOES_ON_AFTER_END,
    RUNS_CALLS_TWICE,
    LOSES_CALLS,
    REFUSES_AFTER_RUN,
    LOSES_ITEM,
    DOUBLES_ITEM,
    FAILS_ITEM,
    NEW_JOB_EACH_TIME,
    GOES_ON_AFTER_CANCEL,
    DISOWNS_JOB
  }

  private final Set<Flaw> flaws;
  private final ExecutorService threads = Executors.newFixedThreadPool(8);
  private final HttpServer server;
  private final CallCounter counter = new CallCounter(10_000);
  private final Map<String, List<JsonNode>> jobs = new ConcurrentHashMap<>();
  private final AtomicInteger statusRequests = new AtomicInteger();
  private volatile boolean cancelled;
  private volatile String catalogue = "services: {brief-llm: {}, checkin-app: {}}\n";
  private final AtomicInteger revision = new AtomicInteger();
  private final AtomicInteger jobNumbers = new AtomicInteger();
  private final Map<String, String> jobIds = new ConcurrentHashMap<>();

  FakeEntry(Flaw... flaws) throws IOException {
    this.flaws = new HashSet<>(List.of(flaws));
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    server.createContext("/v1/chat/completions", this::chat);
    server.createContext("/services/", this::call);
    server.createContext("/standin/calls", x -> send(x, 200, json(counter.counts())));
    server.createContext("/v1/jobs", this::job);
    server.createContext("/v1/catalogue", this::serveCatalogue);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns the catalogue that the last edit put in force. */
  String catalogue() {
    return catalogue;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private boolean has(Flaw flaw) {
    return flaws.contains(flaw);
  }

  private void chat(HttpExchange exchange) throws IOException {
    ChatRequest request =
        WireJson.read(exchange.getRequestBody().readAllBytes(), ChatRequest.class);
    List<String> tokens = tokens(request);
    if (!request.stream()) {
      send(exchange, 200, completion(String.join("", tokens)));
      return;
    }
    StringBuilder events = new StringBuilder();
    tokens.forEach(token -> events.append(chunk(token)));
    events.append(has(Flaw.CUTS_STREAM) ? "" : "data: [DONE]\n\n");
    events.append(has(Flaw.GOES_ON_AFTER_END) ? chunk("more") : "");
    send(exchange, 200, events.toString());
  }

  private List<String> tokens(ChatRequest request) {
    String hash = Prompt.of(request.messages()).hash();
    String answeredHash = has(Flaw.ANSWERS_ANOTHER) ? "0123456789abcdef" : hash;
    List<String> tokens = new ArrayList<>();
    for (int index = 0; index < request.maxTokens(); index++) {
      tokens.add(AnswerText.token(answeredHash, index));
    }
    if (has(Flaw.TRUNCATES_TEXT) || has(Flaw.CUTS_STREAM)) {
      tokens.remove(tokens.size() - 1);
    }
    if (has(Flaw.DOUBLES_TOKEN)) {
      tokens.add(tokens.get(tokens.size() - 1));
    }
    return tokens;
  }

  private static String chunk(String token) {
    return "data: {\"id\":\"c\",\"choices\":[{\"delta\":{\"content\":\"" + token + "\"}}]}\n\n";
  }

  private static String completion(String text) {
    return "{\"choices\":[{\"message\":{\"content\":\"" + text + "\"}}]}";
  }

  private void call(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
    String path = exchange.getRequestURI().toString();
    long call = has(Flaw.LOSES_CALLS) ? 1 : counter.count(key);
    if (has(Flaw.RUNS_CALLS_TWICE)) {
      counter.count(key);
    }
    if (has(Flaw.REFUSES_AFTER_RUN)) {
      String problem = "{\"type\":\"urn:x:not-durable\",\"status\":503,\"run\":\"not-run\"}";
      send(exchange, 503, problem);
      return;
    }
    String text = new String(body, StandardCharsets.UTF_8);
    String checksum = Echo.checksum("POST", path, body);
    send(exchange, 200, json(new Echo("s", "i", "POST", path, text, key, call, checksum)));
  }

  private void serveCatalogue(HttpExchange exchange) throws IOException {
    String held = exchange.getRequestHeaders().getFirst("If-Match");
    if (exchange.getRequestMethod().equals("GET")) {
      send(exchange, 200, json(Map.of("revision", revision.get(), "yaml", catalogue)));
    } else if (held.equals(String.valueOf(revision.get()))) {
      catalogue = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      send(exchange, 200, json(Map.of("revision", revision.incrementAndGet())));
    } else {
      send(exchange, 409, "{}");
    }
  }

  private void job(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    String id = path.length() > 9 ? path.substring(9).split("/")[0] : "";
    if (path.equals("/v1/jobs")) {
      String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      send(exchange, 202, "{\"id\":\"" + accept(key, body) + "\",\"status\":\"running\"}");
    } else if (path.endsWith("/results")) {
      send(exchange, 200, results(jobs.get(id)));
    } else if (path.endsWith("/cancel")) {
      cancelled = true;
      send(exchange, 200, "{}");
    } else if (has(Flaw.DISOWNS_JOB) && statusRequests.getAndIncrement() == 0) {
      send(exchange, 404, "{}");
    } else {
      send(exchange, 200, status(jobs.get(id)));
    }
  }

  /**
   * Returns the status of a job: running until cancelled if its flow is named "endless", else
   * ended.
   */
  private String status(List<JsonNode> items) {
    String status = "{\"status\":\"%s\",\"counts\":{\"completed\":%d,\"failed\":%d}}";
    int failed = has(Flaw.FAILS_ITEM) ? 1 : 0;
    if (!items.get(0).toString().contains("endless")) {
      return status.formatted("completed", items.size() - failed, failed);
    }
    int completed = has(Flaw.GOES_ON_AFTER_CANCEL) ? statusRequests.incrementAndGet() : 0;
    return status.formatted(cancelled ? "cancelled" : "running", completed, 0);
  }

  private String accept(String key, String body) throws IOException {
    List<JsonNode> items = new ArrayList<>();
    for (String line : body.lines().toList()) {
      items.add(WireJson.mapper().readTree(line));
    }
    String newId = "job-" + jobNumbers.incrementAndGet();
    String id = has(Flaw.NEW_JOB_EACH_TIME) ? newId : jobIds.computeIfAbsent(key, unused -> newId);
    jobs.putIfAbsent(id, items);
    return id;
  }

  private String results(List<JsonNode> items) throws IOException {
    List<String> lines = new ArrayList<>();
    if (cancelled) {
      return "";
    }
    for (JsonNode item : items) {
      ChatRequest request = WireJson.mapper().treeToValue(item.path("body"), ChatRequest.class);
      lines.add(
          "{\"custom_id\":\"%s\",\"status\":\"completed\",\"response\":%s,\"error\":null}"
              .formatted(
                  item.path("custom_id").asText(), completion(String.join("", tokens(request)))));
    }
    if (has(Flaw.LOSES_ITEM)) {
      lines.remove(0);
    }
    if (has(Flaw.DOUBLES_ITEM)) {
      lines.add(lines.get(0));
    }
    if (has(Flaw.FAILS_ITEM)) {
      lines.set(0, lines.get(0).replace("\"completed\"", "\"failed\""));
    }
    return String.join("\n", lines) + "\n";
  }

  private static String json(Object value) {
    return new String(WireJson.write(value), StandardCharsets.UTF_8);
  }

  private static void send(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
