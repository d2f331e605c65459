package io.hawthornlb.gateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

  private final EndpointDirectory directory = new EndpointDirectory();
  private final Instant now = Instant.parse("2026-01-01T00:00:00Z");

  @Test
  void offersNoEndpointThatIsLeaving() {
    directory.put(entry("e1", false));
    directory.put(entry("e2", true));
    assertEquals(List.of("e1"), usable());
    assertTrue(directory.find("e2").isPresent());
  }

  @Test
  void dropsARemovedEntryImmediately() {
    List<String> removed = new ArrayList<>();
    directory.onRemoval(entry -> removed.add(entry.id()));
    directory.put(entry("e1", false));
    directory.remove("e1", now);
    assertEquals(List.of(), usable());
    assertEquals(List.of("e1"), removed);
  }

  /**
   * Guards against refusing all callers for two seconds after an outage of the store. The entries
   * of all endpoints expired during the outage, although the endpoints are healthy and write their
   * entries again within that time.
   */
  @Test
  void keepsEntriesThatExpiredInAnOutageUntilTheyCouldBeRestored() {
    directory.put(entry("back", false));
    directory.put(entry("gone", false));
    directory.outageEnded(now);
    directory.replaceAll(List.of(), now.plusMillis(10));
    assertEquals(List.of("back", "gone"), usable());
    directory.put(entry("back", false));
    directory.expire(now.plusMillis(1_609));
    assertEquals(List.of("back", "gone"), usable());
    directory.expire(now.plusMillis(1_610));
    assertEquals(List.of("back"), usable());
  }

  /**
   * Guards against a request that is sent to an endpoint 2.2 s after its removal. The endpoint left
   * just after an outage, and its removal was taken for an effect of the outage.
   */
  @Test
  void neverKeepsARemovedEntryForTwoSeconds() {
    directory.put(entry("e1", false));
    directory.outageEnded(now);
    directory.remove("e1", now.plusMillis(5));
    directory.expire(now.plusMillis(1_605));
    assertEquals(List.of(), usable());
  }

  /**
   * Guards against requests that go to the former address of a restarted endpoint. A late entry of
   * the former incarnation was taken for the newest one.
   */
  @Test
  void ignoresALateEntryOfAFormerIncarnation() {
    directory.put(started(2));
    directory.put(started(1));
    assertEquals(2, directory.find("e1").orElseThrow().born());
    directory.replaceAll(List.of(started(1)), now);
    assertEquals(2, directory.find("e1").orElseThrow().born());
    assertEquals(List.of("e1"), usable());
  }

  /**
   * Same as above when the new incarnation has left in the meantime: a reload of the list contains
   * both entries again.
   */
  @Test
  void restoresNoFormerIncarnationAfterTheLatestOneLeft() {
    directory.put(started(2));
    directory.remove("e1", now);
    directory.put(started(1));
    assertEquals(List.of(), usable());
    directory.put(started(2));
    assertEquals(List.of("e1"), usable());
  }

  /**
   * Guards against state of a former incarnation that restricts the new one, and against state of
   * the new incarnation that is discarded.
   */
  @Test
  void notifiesOnceOfEachNewIncarnation() {
    List<EndpointIncarnation> restarted = new ArrayList<>();
    directory.onRestart(restarted::add);
    directory.put(started(1));
    directory.put(started(1));
    directory.put(started(3));
    directory.put(started(2));
    directory.replaceAll(List.of(started(3)), now);
    directory.remove("e1", now);
    directory.put(started(4));
    assertEquals(
        List.of(new EndpointIncarnation("e1", 3), new EndpointIncarnation("e1", 4)), restarted);
    assertTrue(directory.isSuperseded(new EndpointIncarnation("e1", 3)));
    assertFalse(directory.isNewerThanKnown(new EndpointIncarnation("e1", 4)));
    assertTrue(directory.isNewerThanKnown(new EndpointIncarnation("e1", 5)));
    assertFalse(directory.isNewerThanKnown(new EndpointIncarnation("e2", 5)));
  }

  private static EndpointRecord started(long born) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", (int) born);
    return new EndpointRecord("e1", "engine", address, "a", 8, false, born);
  }

  private List<String> usable() {
    return directory.usable("engine").stream().map(EndpointRecord::id).toList();
  }

  private static EndpointRecord entry(String id, boolean leaving) {
    return new EndpointRecord(id, "engine", new InetSocketAddress("127.0.0.1", 1), "a", 8, leaving);
  }
}
