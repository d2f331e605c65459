package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.model.ServiceName;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(180)
class EntryJobTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Pattern ID = Pattern.compile("\"id\":\"([^\"]+)\"");

  private TestFleet fleet;
  private EntryProcess first;
  private EntryProcess second;

  @BeforeEach
  void startFleet() {
    fleet = new TestFleet();
    fleet.addEngine("engine-1");
    fleet.addEngine("engine-2");
    first = fleet.addEntry("entry-1");
    second = fleet.addEntry("entry-2");
    fleet.putCatalogue(first);
    fleet.awaitReady(first);
    fleet.awaitReady(second);
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  @Test
  void jobCompletesAndIsReadableFromAnyEntry() {
    String job = awaitAccepted(submit(first, "roster-1", items(40)));

    awaitStatus(second, job, "completed");
    String results = results(second, job);

    assertEquals(40, results.lines().filter(line -> line.contains("custom_id")).count(), results);
    assertEquals(40, results.lines().map(EntryJobTest::customId).distinct().count(), results);
    assertTrue(results.lines().allMatch(line -> line.contains("\"status\":\"completed\"")));
  }

  // A client does not receive the answer to its submission and resends the job through another
  // entry
  // instance. If the resend were accepted as a second job, each item would run twice.
  @Test
  void resentJobIsTheSameJob() {
    String job = awaitAccepted(submit(first, "roster-2", items(5)));

    assertEquals(job, awaitAccepted(submit(second, "roster-2", items(5))));
    HttpResponse<String> other = fleet.send(submit(second, "roster-2", items(6)));
    assertEquals(409, other.statusCode(), other.body());
  }

  @Test
  void cancelledJobStops() {
    String job = awaitAccepted(submit(first, "roster-3", items(2_000)));

    HttpRequest cancel =
        TestFleet.to(second, "/v1/jobs/" + job + "/cancel")
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    assertEquals(200, fleet.send(cancel).statusCode());
    awaitStatus(second, job, "cancelled");
  }

  /** Guards against endpoints that run items of a cancelled job seconds after its end. */
  @Test
  void engineRunsNoItemOfACancelledJob() {
    String job = awaitAccepted(submit(first, "roster-8", items(2_000)));
    Awaitility.await().atMost(TIMEOUT).until(() -> !fleet.idle());
    HttpRequest cancel =
        TestFleet.to(second, "/v1/jobs/" + job + "/cancel")
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    assertEquals(200, fleet.send(cancel).statusCode());
    Awaitility.await()
        .pollDelay(Duration.ofSeconds(3))
        .pollInterval(Duration.ofMillis(5))
        .during(Duration.ofSeconds(2))
        .atMost(Duration.ofSeconds(6))
        .until(() -> fleet.idle());
  }

  @Test
  void faultsOfAllItemsAreReportedAndNothingRuns() {
    String invalidItems =
        item("a").replace("brief-llm", "no-such") + "\n{broken\n" + item("b") + "\n" + item("b");

    HttpResponse<String> answer = fleet.send(submit(first, "roster-4", invalidItems));

    assertEquals(400, answer.statusCode(), answer.body());
    for (int line : new int[] {1, 2, 4}) {
      assertTrue(answer.body().contains("\"line\":" + line), answer.body());
    }
  }

  /** Guards against jobs that are unknown once the catalogue lacks the service of their items. */
  @Test
  void jobStaysReadableOnceItsServiceHasGone() {
    String done = awaitAccepted(submit(first, "roster-5", items(5)));
    awaitStatus(second, done, "completed");
    String open = awaitAccepted(submit(first, "roster-6", items(2_000)));
    removeService();
    for (EntryProcess entry : List.of(first, second)) {
      for (String job : List.of(done, open)) {
        HttpResponse<String> read = fleet.send(TestFleet.get(entry, "/v1/jobs/" + job));
        assertEquals(200, read.statusCode(), read.body());
      }
      assertEquals(5, results(entry, done).lines().count());
    }
  }

  /** Guards against a refusal of an accepted job whose caller has not got the answer. */
  @Test
  void resentJobIsTheSameJobOnceItsServiceHasGone() {
    String job = awaitAccepted(submit(first, "roster-7", items(5)));
    removeService();
    HttpResponse<String> resent = fleet.send(submit(second, "roster-7", items(5)));
    assertEquals(202, resent.statusCode(), resent.body());
    assertTrue(resent.body().contains(job), resent.body());
  }

  /**
   * Guards against items that never run again once their service left the catalogue for a while.
   */
  @Test
  void jobEndsOnceItsServiceIsBack() {
    String job = awaitAccepted(submit(first, "roster-8", items(800)));
    Awaitility.await().atMost(TIMEOUT).until(() -> !results(second, job).isEmpty());
    removeService();
    Awaitility.await().pollDelay(Duration.ofSeconds(4)).until(() -> true);
    fleet.putCatalogue(first, 1, TestFleet.catalogue());
    awaitStatus(second, job, "completed");
    assertEquals(800, results(second, job).lines().count());
  }

  private void removeService() {
    Catalogue catalogue = TestFleet.catalogue();
    Map<ServiceName, ServiceEntry> services = new HashMap<>(catalogue.services());
    services.remove(new ServiceName("brief-llm"));
    fleet.putCatalogue(first, 0, new Catalogue(0, services, catalogue.workspaces()));
  }

  private String awaitAccepted(HttpRequest request) {
    HttpResponse<String> answer =
        Awaitility.await()
            .atMost(TIMEOUT)
            .until(() -> fleet.send(request), response -> response.statusCode() == 202);
    Matcher matcher = ID.matcher(answer.body());
    assertTrue(matcher.find(), answer.body());
    return matcher.group(1);
  }

  private void awaitStatus(EntryProcess entry, String job, String status) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(
            () -> fleet.send(TestFleet.get(entry, "/v1/jobs/" + job)).body(),
            body -> body.contains("\"status\":\"" + status + "\""));
  }

  private String results(EntryProcess entry, String job) {
    StringBuilder all = new StringBuilder();
    String cursor = "0";
    while (cursor != null) {
      HttpResponse<String> page =
          fleet.send(TestFleet.get(entry, "/v1/jobs/" + job + "/results?cursor=" + cursor));
      assertEquals(200, page.statusCode(), page.body());
      all.append(page.body());
      cursor = page.headers().firstValue("Next-Cursor").orElse(null);
    }
    return all.toString();
  }

  private static String customId(String line) {
    Matcher matcher = Pattern.compile("\"custom_id\":\"([^\"]+)\"").matcher(line);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static HttpRequest submit(EntryProcess entry, String key, String lines) {
    return TestFleet.to(entry, "/v1/jobs")
        .header("Idempotency-Key", key)
        .header("Content-Type", "application/x-ndjson")
        .POST(HttpRequest.BodyPublishers.ofString(lines))
        .build();
  }

  private static String items(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> item("item-" + i))
        .collect(Collectors.joining("\n"));
  }

  private static String item(String customId) {
    return "{\"custom_id\":\""
        + customId
        + "\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":"
        + "\"brief-llm\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\""
        + customId
        + "\"}]}}";
  }
}
