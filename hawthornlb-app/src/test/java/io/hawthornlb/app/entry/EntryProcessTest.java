package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EntryProcessTest {

  private static final int MAX_TOKENS = 20;
  private static final String CHAT_REQUEST =
      "{\"model\":\"brief-llm\",\"max_tokens\":"
          + MAX_TOKENS
          + ",\"messages\":"
          + "[{\"role\":\"system\",\"content\":\"You brief waiters.\"},"
          + "{\"role\":\"user\",\"content\":\"Which shoes?\"}]%s}";

  private static final Pattern COUNT =
      Pattern.compile("(?m)^hawthornlb_request_seconds_count\\S* (\\d+)");

  /** Metrics are recorded by a single thread, which may be delayed on a busy machine. */
  private static final Duration METRICS_TIMEOUT = Duration.ofSeconds(5);

  private TestFleet fleet;
  private EntryProcess entry;

  @BeforeEach
  void startFleet() {
    fleet = new TestFleet();
    fleet.addEngine("engine-1");
    fleet.addService("service-1");
    entry = fleet.addEntry("entry-1");
    fleet.putCatalogue(entry);
    fleet.awaitReady(entry);
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  @Test
  void servesCompleteAnswer() {
    HttpResponse<String> answer = fleet.send(TestFleet.chat(entry, CHAT_REQUEST.formatted("")));

    assertEquals(200, answer.statusCode(), answer.body());
    assertTrue(answer.body().contains("\"choices\""), answer.body());
  }

  @Test
  void servesStreamToItsEndMarker() {
    HttpResponse<String> answer =
        fleet.send(TestFleet.chat(entry, CHAT_REQUEST.formatted(",\"stream\":true")));

    assertEquals(200, answer.statusCode(), answer.body());
    assertTrue(answer.body().trim().endsWith("data: [DONE]"), answer.body());
    List<Integer> tokens =
        Pattern.compile("\"hawthornlb_token\":(\\d+)")
            .matcher(answer.body())
            .results()
            .map(match -> Integer.valueOf(match.group(1)))
            .toList();
    assertEquals(IntStream.rangeClosed(0, MAX_TOKENS).boxed().toList(), tokens, answer.body());
  }

  @Test
  void passesCallsToPlainServices() {
    HttpRequest request =
        TestFleet.to(entry, "/services/checkin-app/doors/3?side=left")
            .header("Content-Type", "text/plain")
            .POST(HttpRequest.BodyPublishers.ofString("worker 17"))
            .build();

    HttpResponse<String> answer = fleet.send(request);

    assertEquals(200, answer.statusCode(), answer.body());
    assertTrue(answer.body().contains("/doors/3"), answer.body());
  }

  @Test
  void reportsAllFaultsOfRequestAtOnce() {
    HttpResponse<String> answer =
        fleet.send(TestFleet.chat(entry, "{\"messages\":[{\"role\":1}],\"max_tokens\":-1}"));

    assertEquals(400, answer.statusCode(), answer.body());
    assertTrue(answer.body().contains("\"run\":\"not-run\""), answer.body());
    for (String path : new String[] {"model", "messages[0].role", "max_tokens"}) {
      assertTrue(answer.body().contains("\"path\":\"" + path + "\""), answer.body());
    }
  }

  @Test
  void refusesInvalidJsonWithLineNumber() {
    HttpResponse<String> answer = fleet.send(TestFleet.chat(entry, "{\"model\":\n oops}"));

    assertEquals(400, answer.statusCode(), answer.body());
    assertTrue(answer.body().contains("\"line\":2"), answer.body());
  }

  @Test
  void refusesUnknownKey() {
    HttpRequest request =
        HttpRequest.newBuilder(TestFleet.get(entry, "/v1/models").uri())
            .header("Authorization", "Bearer wrong")
            .build();

    assertEquals(401, fleet.send(request).statusCode());
  }

  /** Waits for the metric, since an answer may reach the caller before its request is counted. */
  @Test
  void listsModelsAndMeters() {
    assertTrue(fleet.send(TestFleet.get(entry, "/v1/models")).body().contains("brief-llm"));
    HttpResponse<String> answer = fleet.send(TestFleet.chat(entry, CHAT_REQUEST.formatted("")));
    assertEquals(200, answer.statusCode(), answer.body());
    Awaitility.await().atMost(METRICS_TIMEOUT).until(() -> countedChats() == 1);
  }

  private int countedChats() {
    String meters = fleet.send(TestFleet.get(entry, "/metrics")).body();
    Matcher count = COUNT.matcher(meters);
    return count.find() ? Integer.parseInt(count.group(1)) : 0;
  }
}
