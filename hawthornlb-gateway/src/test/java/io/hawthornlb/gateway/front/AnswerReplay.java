package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.front.GatewayFixture.Answer;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers that use few ids again and again, and sometimes leave, checked against what the endpoints
 * say that they answered.
 */
final class AnswerReplay {

  private static final int CALLERS = 6;
  private static final int IDS = 8;

  private final GatewayFixture gateway;
  private final List<StutteringEndpoint> endpoints;
  private final List<String> violations = new ArrayList<>();
  private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();

  AnswerReplay(GatewayFixture gateway, List<StutteringEndpoint> endpoints) {
    this.gateway = gateway;
    this.endpoints = endpoints;
  }

  /** Lets each caller send a number of requests, one after another, and waits for all. */
  AnswerReplay run(long seed, int requests) {
    List<CompletableFuture<Void>> callers = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      Random random = new Random(seed * CALLERS + caller);
      String name = "/a/" + caller + "-";
      callers.add(
          CompletableFuture.runAsync(
              () -> {
                for (int i = 0; i < requests; i++) {
                  send(random, name + i);
                }
              },
              task -> new Thread(task, "caller").start()));
    }
    callers.forEach(CompletableFuture::join);
    return this;
  }

  /** Returns what callers got though no endpoint had answered it. */
  List<String> violations() {
    return violations;
  }

  /** Returns how many callers got a status; 0 stands for no answer. */
  int count(int status) {
    return statuses.getOrDefault(status, new AtomicInteger()).get();
  }

  private void send(Random random, String path) {
    String method = List.of("GET", "GET", "HEAD", "POST").get(random.nextInt(4));
    String body = method.equals("POST") ? "hello" : "";
    String request =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: h.example\r\nTest-Remaining: 6000\r\n"
            + "Connection: close\r\nTest-Id: "
            + random.nextInt(IDS)
            + (body.isEmpty() ? "" : "\r\nContent-Length: " + body.length())
            + "\r\n\r\n"
            + body;
    try (Socket socket = gateway.raw(request)) {
      if (random.nextInt(5) > 0) {
        check(method, path, GatewayFixture.read(socket));
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private synchronized void check(String method, String path, Answer got) {
    statuses.computeIfAbsent(got.status(), any -> new AtomicInteger()).incrementAndGet();
    String[] signed = got.head().split("(?i)test-signature: ");
    String signature = signed.length < 2 ? "" : signed[1].split("\r\n")[0];
    boolean success = got.status() / 100 == 2;
    if (!success && signature.isEmpty()) {
      return;
    }
    for (StutteringEndpoint each : endpoints) {
      SentAnswer given = each.answers().get(signature);
      if (given != null && given.matches(got, method, path)) {
        return;
      }
    }
    String text = got.body().substring(0, Math.min(200, got.body().length()));
    violations.add(method + " " + path + " got " + got.head() + "\n" + text);
  }
}
