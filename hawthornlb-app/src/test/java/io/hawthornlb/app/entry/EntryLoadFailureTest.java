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

  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final Duration LEAVING_LIMIT = Duration.ofSeconds(5);
  private static final int CALLERS = 8;
  private static final int ROUND = 40;
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

  // Coordinators get errors while one engine of two is lost: their requests were in progress
  // there, the connections break, and nobody sends them to the other engine.
  @Test
  void anEngineLostUnderLoadFailsNoRequest() throws Exception {
    Queue<HttpResponse<String>> answers = new ConcurrentLinkedQueue<>();
    AtomicBoolean enough = new AtomicBoolean();
    List<Future<?>> callers = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      String name = "caller-" + caller;
      callers.add(threads.submit(() -> askUntil(enough, name, answers)));
    }
    awaitAnswers(answers, ROUND);

    firstEngine.close();
    awaitAnswers(answers, answers.size() + 2 * ROUND);
    enough.set(true);
    for (Future<?> caller : callers) {
      caller.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
    }

    assertEquals(
        List.of(),
        answers.stream()
            .filter(answer -> answer.statusCode() != 200)
            .map(HttpResponse::body)
            .toList());
  }

  // A briefing stops in the middle of a sentence whenever its entry is replaced: the entry stops
  // while streams run and closes their connections.
  @Test
  void aGracefulStopEndsNoStreamEarly() throws Exception {
    List<BufferedReader> streams = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      HttpRequest request = TestFleet.chat(entry, ask("stream-" + caller, TOKENS, true));
      streams.add(
          new BufferedReader(
              new InputStreamReader(
                  fleet.stream(request).get(PATIENCE.toSeconds(), TimeUnit.SECONDS).body(),
                  StandardCharsets.UTF_8)));
    }
    List<String> begun = new ArrayList<>();
    for (BufferedReader stream : streams) {
      begun.add(stream.readLine());
    }

    CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> fleet.stop(entry), threads);
    for (int caller = 0; caller < CALLERS; caller++) {
      assertWhole(begun.get(caller) + "\n" + rest(streams.get(caller)));
    }
    stop.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
  }

  // Calls fail at a service that shuts down as planned: it has told the platform that it is
  // leaving, and an entry goes on sending it new ones until its connections are refused.
  @Test
  void aLeavingEndpointGetsNoNewWork() {
    call("before", ROUND);
    assertTrue(callsAt(firstService, "before") > 0, "the service is in use before it leaves");

    firstService.leave();
    Awaitility.await().pollDelay(LEAVING_LIMIT).atMost(PATIENCE).until(() -> true);
    call("after", ROUND);

    assertEquals(0, callsAt(firstService, "after"));
    assertEquals(ROUND, IntStream.range(0, ROUND).map(i -> fleet.callsOf("after-" + i)).sum());
  }

  private void askUntil(AtomicBoolean enough, String name, Queue<HttpResponse<String>> answers) {
    for (int i = 0; !enough.get(); i++) {
      answers.add(fleet.send(TestFleet.chat(entry, ask(name + "-" + i, 20, false))));
    }
  }

  private static void awaitAnswers(Queue<HttpResponse<String>> answers, int count) {
    Awaitility.await().atMost(PATIENCE).until(() -> answers.size() >= count);
  }

  private static String ask(String content, int tokens, boolean streamed) {
    return "{\"model\":\"brief-llm\",\"max_tokens\":"
        + tokens
        + ",\"stream\":"
        + streamed
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + content
        + "\"}]}";
  }

  private static String rest(BufferedReader stream) throws IOException {
    StringBuilder text = new StringBuilder();
    for (String line = stream.readLine(); line != null; line = stream.readLine()) {
      text.append(line).append('\n');
    }
    return text.toString();
  }

  private static void assertWhole(String body) {
    List<Integer> tokens =
        Pattern.compile("\"hawthornlb_token\":(\\d+)")
            .matcher(body)
            .results()
            .map(match -> Integer.valueOf(match.group(1)))
            .toList();
    assertEquals(IntStream.rangeClosed(0, TOKENS).boxed().toList(), tokens, body);
    assertTrue(body.trim().endsWith("data: [DONE]"), body);
  }

  private void call(String prefix, int count) {
    for (int i = 0; i < count; i++) {
      HttpRequest request =
          TestFleet.to(entry, "/services/checkin-app/doors/3")
              .header("Idempotency-Key", prefix + "-" + i)
              .header("Content-Type", "text/plain")
              .POST(HttpRequest.BodyPublishers.ofString("worker " + i))
              .build();
      Awaitility.await().atMost(PATIENCE).until(() -> fleet.send(request).statusCode() == 200);
    }
  }

  private long callsAt(RunningStandin service, String prefix) {
    URI uri = URI.create("http://" + service.address() + "/standin/calls");
    String calls = fleet.send(HttpRequest.newBuilder(uri).build()).body();
    return Pattern.compile("\"" + prefix + "-\\d+\"").matcher(calls).results().count();
  }
}
