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

  // A client does not receive an answer in time and resends the call through another entry
  // instance.
  // If the call ran twice, a worker would be paid twice. The resend must receive the first answer.
  @Test
  void resendThroughAnotherEntryReturnsFirstAnswer() {
    HttpResponse<String> original = awaitAnswer(checkIn(first, "key-1", "worker 17"));

    HttpResponse<String> resent = fleet.send(checkIn(second, "key-1", "worker 17"));

    assertEquals(200, resent.statusCode(), resent.body());
    assertEquals(original.body(), resent.body());
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

  // The platform becomes unreachable. Run-once calls must still be served, since the replicas of
  // the
  // claim store each intent before the call is dispatched. An instance can decide only for keys of
  // partitions that it claimed before; partitions are claimed one after another at the start. The
  // test
  // therefore first awaits an answer for another key of the same partition.
  @Test
  void servesRunOnceCallsWhilePlatformIsDown() {
    awaitAnswer(checkIn(first, otherKeyOfSamePartition("key-4"), "worker 20"));

    fleet.platformDown();
    HttpResponse<String> during = fleet.send(checkIn(second, "key-4", "worker 21"));

    assertEquals(200, during.statusCode(), during.body());
    assertEquals(1, fleet.callsOf("key-4"));
  }

  /** Returns another key of the same partition, for which the same instance decides. */
  private static String otherKeyOfSamePartition(String key) {
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
