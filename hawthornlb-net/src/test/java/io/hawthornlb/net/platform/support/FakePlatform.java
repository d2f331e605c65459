package io.hawthornlb.net.platform.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** In-memory platform over HTTP that injects the faults which the clients must tolerate. */
final class FakePlatform implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String APPENDED_AT = "2026-01-02T03:04:05Z";

  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final Map<String, List<String>> streams = new ConcurrentHashMap<>();
  private final Map<String, JsonNode> instances = new LinkedHashMap<>();
  private final Set<Integer> openPorts = ConcurrentHashMap.newKeySet();
  private final Set<Integer> unresponsivePorts = ConcurrentHashMap.newKeySet();

  final AtomicInteger appendCalls = new AtomicInteger();
  final AtomicInteger responsesToLose = new AtomicInteger();
  final AtomicInteger callsOverRate = new AtomicInteger();
  volatile boolean down;
  volatile long firstRetained;

  FakePlatform() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext("/log/", this::handleLog);
    server.createContext("/instances", this::handleInstances);
    server.start();
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  /** Stops responding on all connections that are open now; new connections work. */
  void stallOpenConnections() {
    unresponsivePorts.addAll(openPorts);
  }

  int size(String stream) {
    List<String> records = records(stream);
    synchronized (records) {
      return records.size();
    }
  }

  private List<String> records(String stream) {
    return streams.computeIfAbsent(stream, name -> new ArrayList<>());
  }

  private void handleLog(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    if (isUnresponsive(exchange) || refused(exchange)) {
      return;
    }
    List<String> records = records(exchange.getRequestURI().getPath().split("/")[2]);
    if (exchange.getRequestMethod().equals("POST")) {
      append(exchange, records, MAPPER.readTree(body));
    } else {
      read(exchange, records);
    }
  }

  private boolean isUnresponsive(HttpExchange exchange) {
    int port = exchange.getRemoteAddress().getPort();
    openPorts.add(port);
    return unresponsivePorts.contains(port);
  }

  private boolean refused(HttpExchange exchange) throws IOException {
    if (down) {
      respond(exchange, 503, MAPPER.createObjectNode());
      return true;
    }
    if (callsOverRate.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      exchange.getResponseHeaders().add("Retry-After", "1");
      respond(exchange, 429, MAPPER.createObjectNode());
      return true;
    }
    return false;
  }

  private void append(HttpExchange exchange, List<String> records, JsonNode body)
      throws IOException {
    appendCalls.incrementAndGet();
    ObjectNode response = MAPPER.createObjectNode();
    synchronized (records) {
      response.put("firstOffset", records.size());
      body.path("records").forEach(item -> records.add(item.asText()));
      records.notifyAll();
    }
    if (responsesToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      exchange.close();
      return;
    }
    respond(exchange, 200, response);
  }

  private void read(HttpExchange exchange, List<String> records) throws IOException {
    Map<String, Long> query = new LinkedHashMap<>();
    for (String pair : exchange.getRequestURI().getQuery().split("&")) {
      String[] parts = pair.split("=");
      query.put(parts[0], Long.parseLong(parts[1]));
    }
    long from = query.get("from");
    ObjectNode response = MAPPER.createObjectNode();
    response.put("firstOffset", firstRetained);
    if (from < firstRetained) {
      respond(exchange, 410, response);
      return;
    }
    synchronized (records) {
      awaitRecords(records, from, query.get("waitMillis"));
      long end = Math.min(records.size(), from + query.get("max"));
      var array = response.putArray("records");
      for (long offset = from; offset < end; offset++) {
        ObjectNode item = array.addObject();
        item.put("offset", offset);
        item.put("appendedAt", APPENDED_AT);
        item.put("data", records.get((int) offset));
      }
      response.put("nextOffset", Math.max(from, end));
    }
    respond(exchange, 200, response);
  }

  private static void awaitRecords(List<String> records, long from, long waitMillis) {
    try {
      if (records.size() <= from && waitMillis > 0) {
        records.wait(waitMillis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void handleInstances(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    if (isUnresponsive(exchange) || refused(exchange)) {
      return;
    }
    String id = exchange.getRequestURI().getPath().replaceFirst("/instances/?", "");
    switch (exchange.getRequestMethod()) {
      case "PUT" -> instances.put(id, MAPPER.readTree(body));
      case "DELETE" -> instances.remove(id);
      default -> {
        ObjectNode list = MAPPER.createObjectNode().put("asOf", APPENDED_AT);
        list.putArray("instances").addAll(instances.values());
        respond(exchange, 200, list);
        return;
      }
    }
    exchange.sendResponseHeaders(204, -1);
    exchange.close();
  }

  private static void respond(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(body);
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
