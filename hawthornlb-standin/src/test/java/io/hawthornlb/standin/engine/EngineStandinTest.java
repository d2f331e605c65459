package io.hawthornlb.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.TestCalls;
import io.hawthornlb.standin.TestSettings;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineStandinTest {

  private RunningStandin engine;
  private TestCalls calls;

  @BeforeEach
  void start() {
    engine = EngineStandin.start(TestSettings.engine("e-1").build());
    calls = new TestCalls(engine);
  }

  @AfterEach
  void stop() {
    engine.close();
  }

  private static String chat(String content, int maxTokens, boolean stream) {
    return """
        {"model":"brief-llm","stream":%s,"max_tokens":%d,
         "messages":[{"role":"system","content":"rules"},{"role":"user","content":"%s"}]}
        """
        .formatted(stream, maxTokens, content);
  }

  private static String expected(String content, int tokens) {
    Prompt prompt =
        Prompt.of(List.of(new ChatMessage("system", "rules"), new ChatMessage("user", content)));
    return AnswerText.whole(prompt.hash(), tokens);
  }

  private static String joined(List<String> events) throws IOException {
    StringBuilder text = new StringBuilder();
    for (String event : events) {
      if (!event.equals("[DONE]")) {
        JsonNode chunk = WireJson.mapper().readTree(event);
        text.append(chunk.path("choices").path(0).path("delta").path("content").asText(""));
      }
    }
    return text.toString();
  }

  @Test
  void completeAnswersDependOnTheRequestOnly() throws IOException {
    HttpResponse<String> answer = calls.post("/v1/chat/completions", chat("hello", 9, false));
    JsonNode body = WireJson.mapper().readTree(answer.body());

    assertEquals(200, answer.statusCode());
    assertEquals(
        expected("hello", 9),
        body.path("choices").path(0).path("message").path("content").asText());
    assertEquals(9, body.path("usage").path("completion_tokens").asInt());
  }

  @Test
  void streamsNumberTheirTokensAndEndWithDone() throws IOException {
    HttpResponse<String> answer =
        calls.post("/v1/chat/completions", chat("hello", 5, true), "X-Request-Id", "r-1");
    List<String> events = TestCalls.events(answer);

    assertTrue(
        answer.headers().firstValue("Content-Type").orElse("").startsWith("text/event-stream"));
    assertEquals(7, events.size());
    assertEquals("[DONE]", events.get(6));
    for (int token = 0; token <= 5; token++) {
      JsonNode chunk = WireJson.mapper().readTree(events.get(token));
      assertEquals(token, chunk.path("hawthornlb_token").asInt());
      assertEquals("chatcmpl-r-1", chunk.path("id").asText());
    }
    assertEquals(expected("hello", 5), joined(events));
  }

  @Test
  void resumedStreamsReplayTheTokensGeneratedBeforeCancellation() throws IOException {
    HttpResponse<Stream<String>> reading = streamLines(chat("long story", 20_000, true), "r-1");
    Awaitility.await().until(() -> calls.json("/v1/load").path("running").asInt() == 1);

    HttpResponse<String> cancelled = calls.delete("/v1/streams/r-1");
    int generated = WireJson.mapper().readTree(cancelled.body()).path("generated").asInt();

    List<String> seen = reading.body().filter(line -> line.startsWith("data:")).toList();
    assertEquals(200, cancelled.statusCode(), cancelled.body());
    assertTrue(generated < 20_000);
    assertEquals(generated, seen.size());
    Awaitility.await().until(() -> calls.json("/v1/load").path("running").asInt() == 0);
    assertEquals(0, calls.json("/v1/load").path("kvUsedTokens").asInt());
    assertResumesWith(generated);
  }

  private void assertResumesWith(int generated) throws IOException {
    HttpResponse<Stream<String>> resumed = lines("/v1/streams/r-1?from=0");
    StringBuilder text = new StringBuilder();
    int wanted = generated + 10;
    resumed
        .body()
        .filter(line -> line.startsWith("data:"))
        .limit(wanted)
        .forEach(line -> text.append(contentOf(line.substring("data:".length()))));
    assertEquals(expected("long story", wanted), text.toString());
  }

  @Test
  void unknownStreamsAreNotFound() throws IOException {
    assertEquals(404, calls.get("/v1/streams/none").statusCode());
    assertEquals(404, calls.delete("/v1/streams/none").statusCode());
    assertEquals(404, calls.get("/v1/kv/none").statusCode());
  }

  @Test
  void finishedStreamsReplayFromAnyToken() throws IOException {
    calls.post("/v1/chat/completions", chat("hello", 8, true), "X-Request-Id", "r-1");

    List<String> events = TestCalls.events(calls.get("/v1/streams/r-1?from=6"));

    assertEquals(4, events.size());
    assertTrue(expected("hello", 8).endsWith(joined(events)));
  }

  @Test
  void exportedStreamsContinueOnAnotherEngine() throws IOException {
    streamLines(chat("moved", 3_000, true), "r-1");
    Awaitility.await().until(() -> calls.json("/v1/load").path("running").asInt() == 1);
    calls.delete("/v1/streams/r-1");
    String export = calls.get("/v1/kv/r-1").body();

    try (RunningStandin other = EngineStandin.start(TestSettings.engine("e-2").build())) {
      TestCalls there = new TestCalls(other);
      assertEquals(204, there.post("/v1/kv/r-1", export).statusCode());
      List<String> events = TestCalls.events(there.get("/v1/streams/r-1?from=0"));

      assertEquals(expected("moved", 3_000), joined(events));
    }
  }

  @Test
  void ordersAreFencedAndExecuted() throws IOException {
    String load = "{\"fencing\":%d,\"action\":\"load-model\",\"model\":\"m\",\"version\":\"2\"}";
    engine.close();
    engine =
        EngineStandin.start(
            TestSettings.engine("e-1")
                .orders(EngineOrders.builder().loadMillis(1).build())
                .build());
    calls = new TestCalls(engine);
    assertEquals(202, calls.post("/v1/orders", load.formatted(7)).statusCode());
    Awaitility.await()
        .until(() -> calls.json("/v1/state").path("models").toString().equals("[\"m@2\"]"));

    String role = "{\"fencing\":6,\"action\":\"set-role\",\"role\":\"decode\"}";
    assertEquals(409, calls.post("/v1/orders", role).statusCode());
    assertEquals("mixed", calls.json("/v1/state").path("role").asText());
    assertEquals(7, calls.json("/v1/state").path("lastFencing").asInt());
    assertEquals(400, calls.post("/v1/orders", "{\"fencing\":8}").statusCode());
  }

  @Test
  void enginesWithoutFencingCheckExecuteOutdatedOrders() throws IOException {
    try (RunningStandin unfenced =
        EngineStandin.start(
            TestSettings.engine("e-2")
                .orders(EngineOrders.builder().checkFencing(false).build())
                .build())) {
      TestCalls there = new TestCalls(unfenced);
      String role = "{\"fencing\":%d,\"action\":\"set-role\",\"role\":\"%s\"}";
      assertEquals(202, there.post("/v1/orders", role.formatted(7, "decode")).statusCode());
      assertEquals(202, there.post("/v1/orders", role.formatted(6, "prefill")).statusCode());
      assertEquals("prefill", there.json("/v1/state").path("role").asText());
    }
  }

  @Test
  void invalidRequestsAreRejectedWithoutRunning() throws IOException {
    assertEquals(400, calls.post("/v1/chat/completions", "{").statusCode());
    assertEquals(400, calls.post("/v1/chat/completions", "{\"model\":\"brief-llm\"}").statusCode());
    assertEquals(400, calls.post("/v1/chat/completions", chat("x", 0, false)).statusCode());
    assertEquals(400, calls.post("/v1/chat/completions", chat("x", 70_000, false)).statusCode());
    String other = chat("x", 5, false).replace("brief-llm", "other");
    assertEquals(404, calls.post("/v1/chat/completions", other).statusCode());
    assertEquals(0, calls.json("/v1/load").path("running").asInt());
  }

  @Test
  void cacheEventsHaveSequenceNumbers() throws IOException {
    engine.close();
    engine =
        EngineStandin.start(
            TestSettings.engine("e-1")
                .reports(
                    EngineReports.builder().cacheEventLagMillis(0).cacheEventLossPercent(0).build())
                .build());
    calls = new TestCalls(engine);
    calls.post("/v1/chat/completions", chat("hello", 1, false));
    JsonNode page = calls.json("/v1/cache-events?from=0");

    assertEquals(1, page.path("events").size());
    assertEquals(
        Prompt.of(List.of(new ChatMessage("system", "rules"))).hash(),
        page.path("events").path(0).path("prefix").asText());
    assertEquals("stored", page.path("events").path(0).path("kind").asText());
    assertEquals(1, page.path("nextSeq").asInt());
    assertFalse(calls.json("/v1/cache-events?from=1").path("events").has(0));
  }

  private HttpResponse<Stream<String>> streamLines(String body, String id) throws IOException {
    return send(
        calls
            .request("/v1/chat/completions")
            .header("X-Request-Id", id)
            .POST(BodyPublishers.ofString(body)));
  }

  private HttpResponse<Stream<String>> lines(String path) throws IOException {
    return send(calls.request(path).GET());
  }

  private static HttpResponse<Stream<String>> send(HttpRequest.Builder request) throws IOException {
    try {
      return HttpClient.newHttpClient().send(request.build(), BodyHandlers.ofLines());
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String contentOf(String event) {
    try {
      return joined(List.of(event));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
