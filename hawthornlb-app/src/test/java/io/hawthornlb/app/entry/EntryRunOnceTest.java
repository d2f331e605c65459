package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.app.settings.ClaimSettings;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.runonce.RunOnceKey;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class EntryRunOnceTest {

  private TestFleet fleet;
  private EntryProcess first;
  private EntryProcess second;

  @BeforeEach
  void startFleet() {
    fleet = new TestFleet();
    fleet.addService("service-1");
    first = fleet.addEntry("entry-1");
    second = fleet.addEntry("entry-2");
    fleet.addEntry("entry-3");
    fleet.putCatalogue(first);
    fleet.awaitReady(first);
    fleet.awaitReady(second);
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  // The check-in app gets no answer in time and sends the same check-in again through another
  // entry. Run twice, the worker would be paid twice; so the second gets the first one's answer.
  @Test
  void resendThroughAnotherEntryRunsNothing() {
    HttpResponse<String> before = awaitAnswer(checkIn(first, "key-1", "worker 17"));

    HttpResponse<String> again = fleet.send(checkIn(second, "key-1", "worker 17"));

    assertEquals(200, again.statusCode(), again.body());
    assertEquals(before.body(), again.body());
    assertEquals(1, fleet.callsOf("key-1"));
  }

  @Test
  void sameKeyWithOtherContentIsConflict() {
    awaitAnswer(checkIn(first, "key-2", "worker 18"));

    HttpResponse<String> other = fleet.send(checkIn(second, "key-2", "worker 19"));

    assertEquals(409, other.statusCode(), other.body());
    assertTrue(other.body().contains("\"run\":\"not-run\""), other.body());
    assertEquals(1, fleet.callsOf("key-2"));
  }

  // The platform goes away on the night of a wedding. Check-ins go on, since the witnesses of the
  // claim hold each intent before its dispatch. An instance can only decide for a key whose
  // partition it had claimed before; partitions are claimed one after the other at the start.
  @Test
  void checkInsGoOnWhileThePlatformIsAway() {
    awaitAnswer(checkIn(first, keyBeside("key-4"), "worker 20"));

    fleet.platformDown();
    HttpResponse<String> during = fleet.send(checkIn(second, "key-4", "worker 21"));

    assertEquals(200, during.statusCode(), during.body());
    assertEquals(1, fleet.callsOf("key-4"));
  }

  /** Returns another key that the same instance decides for. */
  private static String keyBeside(String key) {
    PartitionId wanted = partition(key);
    return IntStream.iterate(0, number -> number + 1)
        .mapToObj(number -> "beside-" + number)
        .filter(each -> partition(each).equals(wanted))
        .findFirst()
        .orElseThrow();
  }

  private static PartitionId partition(String key) {
    RunOnceKey named = new RunOnceKey(TestFleet.WORKSPACE, key);
    return named.partition(ClaimSettings.DEFAULT.partitions());
  }

  private HttpResponse<String> awaitAnswer(HttpRequest request) {
    return Awaitility.await()
        .atMost(Duration.ofSeconds(30))
        .until(() -> fleet.send(request), answer -> answer.statusCode() == 200);
  }

  private static HttpRequest checkIn(EntryProcess entry, String key, String worker) {
    return TestFleet.to(entry, "/services/checkin-app/doors/3")
        .header("Idempotency-Key", key)
        .header("Content-Type", "text/plain")
        .POST(HttpRequest.BodyPublishers.ofString(worker))
        .build();
  }
}
