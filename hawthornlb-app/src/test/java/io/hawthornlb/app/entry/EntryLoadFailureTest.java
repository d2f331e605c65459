package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.RunningStandin;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class EntryLoadFailureTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration LEAVING_NOTICE_TIME = Duration.ofSeconds(5);
  private static final int CALLERS = 8;
  private static final int CALLS_PER_ROUND = 40;
  private static final int TOKENS = 200;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private TestFleet fleet;
  private RunningStandin firstEngine;
  private RunningStandin firstService;
  private EntryProcess entry;

  @BeforeEach
  void startFleet() {
    fleet = new TestFleet();
    firstEngine = fleet.addEngine("engine-1");
    fleet.addEngine("engine-2");
    firstService = fleet.addService("service-1");
    fleet.addService("service-2");
    entry = fleet.addEntry("entry-1");
    fleet.putCatalogue(entry);
    fleet.awaitReady(entry);
  }

  @AfterEach
  void stopFleet() {
    threads.shutdownNow();
    fleet.close();
  }

  // One of two engines stops under load, and the connections of its requests break. Callers get
  // errors if these requests are not retried at the other engine.
  @Test
  void lossOfEngineUnderLoadFailsNoRequest() throws Exception {
    Queue<HttpResponse<String>> answers = new ConcurrentLinkedQueue<>();
    AtomicBoolean stopped = new AtomicBoolean();
    List<Future<?>> callers = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      String name = "caller-" + caller;
      callers.add(threads.submit(() -> sendUntilStopped(stopped, name, answers)));
    }
    awaitAnswers(answers, CALLS_PER_ROUND);

    firstEngine.close();
    awaitAnswers(answers, answers.size() + 2 * CALLS_PER_ROUND);
    stopped.set(true);
    for (Future<?> caller : callers) {
      caller.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    assertEquals(
        List.of(),
        answers.stream()
            .filter(answer -> answer.statusCode() != 200)
            .map(HttpResponse::body)
            .toList());
  }

  // An entry instance is stopped gracefully while streams are running. If it closed their
  // connections
  // at once, callers would receive truncated answers on every replacement of an instance.
  @Test
  void gracefulStopCompletesRunningStreams() throws Exception {
    List<BufferedReader> streams = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      HttpRequest request = TestFleet.chat(entry, chatRequest("stream-" + caller, TOKENS, true));
      streams.add(
          new BufferedReader(
              new InputStreamReader(
                  fleet.stream(request).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).body(),
                  StandardCharsets.UTF_8)));
    }
    List<String> firstLines = new ArrayList<>();
    for (BufferedReader stream : streams) {
      firstLines.add(stream.readLine());
    }

    CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> fleet.stop(entry), threads);
    for (int caller = 0; caller < CALLERS; caller++) {
      assertComplete(firstLines.get(caller) + "\n" + readRest(streams.get(caller)));
    }
    stop.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  // A service announces to the platform that it is leaving and then shuts down. Calls fail if an
  // entry
  // instance continues to send new calls there until the connections are refused.
  @Test
  void leavingEndpointGetsNoNewCalls() {
    callRepeatedly("before", CALLS_PER_ROUND);
    assertTrue(
        callsAt(firstService, "before") > 0, "the service receives no calls before it leaves");

    firstService.leave();
    Awaitility.await().pollDelay(LEAVING_NOTICE_TIME).atMost(TIMEOUT).until(() -> true);
    callRepeatedly("after", CALLS_PER_ROUND);

    assertEquals(0, callsAt(firstService, "after"));
    assertEquals(
        CALLS_PER_ROUND,
        IntStream.range(0, CALLS_PER_ROUND).map(i -> fleet.callsOf("after-" + i)).sum());
  }

  private void sendUntilStopped(
      AtomicBoolean stopped, String name, Queue<HttpResponse<String>> answers) {
    for (int i = 0; !stopped.get(); i++) {
      answers.add(fleet.send(TestFleet.chat(entry, chatRequest(name + "-" + i, 20, false))));
    }
  }

  private static void awaitAnswers(Queue<HttpResponse<String>> answers, int count) {
    Awaitility.await().atMost(TIMEOUT).until(() -> answers.size() >= count);
  }

  private static String chatRequest(String content, int tokens, boolean streamed) {
    return "{\"model\":\"brief-llm\",\"max_tokens\":"
        + tokens
        + ",\"stream\":"
        + streamed
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + content
        + "\"}]}";
  }

  private static String readRest(BufferedReader stream) throws IOException {
    StringBuilder text = new StringBuilder();
    for (String line = stream.readLine(); line != null; line = stream.readLine()) {
      text.append(line).append('\n');
    }
    return text.toString();
  }

  private static void assertComplete(String body) {
    List<Integer> tokens =
        Pattern.compile("\"hawthornlb_token\":(\\d+)")
            .matcher(body)
            .results()
            .map(match -> Integer.valueOf(match.group(1)))
            .toList();
    assertEquals(IntStream.rangeClosed(0, TOKENS).boxed().toList(), tokens, body);
    assertTrue(body.trim().endsWith("data: [DONE]"), body);
  }

  private void callRepeatedly(String prefix, int count) {
    for (int i = 0; i < count; i++) {
      HttpRequest request =
          TestFleet.to(entry, "/services/checkin-app/doors/3")
              .header("Idempotency-Key", prefix + "-" + i)
              .header("Content-Type", "text/plain")
              .POST(HttpRequest.BodyPublishers.ofString("worker " + i))
              .build();
      Awaitility.await().atMost(TIMEOUT).until(() -> fleet.send(request).statusCode() == 200);
    }
  }

  private long callsAt(RunningStandin service, String prefix) {
    URI uri = URI.create("http://" + service.address() + "/standin/calls");
    String calls = fleet.send(HttpRequest.newBuilder(uri).build()).body();
    return Pattern.compile("\"" + prefix + "-\\d+\"").matcher(calls).results().count();
  }
}
