package io.hawthornlb.gateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
  void offersNothingToEndpointsThatLeave() {
    directory.put(entry("e1", false));
    directory.put(entry("e2", true));
    assertEquals(List.of("e1"), usable());
    assertTrue(directory.find("e2").isPresent());
  }

  @Test
  void dropsARemovedEntryAtOnce() {
    List<String> removed = new ArrayList<>();
    directory.onRemoval(entry -> removed.add(entry.id()));
    directory.put(entry("e1", false));
    directory.remove("e1", now);
    assertEquals(List.of(), usable());
    assertEquals(List.of("e1"), removed);
  }

  /**
   * All callers are refused for two seconds after an outage of the store. The entries of all
   * endpoints had lapsed meanwhile, though the endpoints live and come back within that time.
   */
  @Test
  void keepsEntriesThatLapsedInAnOutageUntilTheyCouldBeBack() {
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
   * An endpoint that has left gets a request 2.2 s after its removal. It left just after an outage,
   * and its removal was taken for one of the outage.
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
   * Checks go to where an endpoint stood before it started again. An entry of its former life was
   * written late, and counted as the newest.
   */
  @Test
  void passesOverALateEntryOfAFormerLife() {
    directory.put(entry("e1", 2));
    directory.put(entry("e1", 1));
    assertEquals(2, directory.find("e1").orElseThrow().born());
    directory.replaceAll(List.of(entry("e1", 1)), now);
    assertEquals(2, directory.find("e1").orElseThrow().born());
    assertEquals(List.of("e1"), usable());
  }

  /** As above, when the new life had left meanwhile: the reload of the list shows both again. */
  @Test
  void bringsNoFormerLifeBackAfterTheLastOneLeft() {
    directory.put(entry("e1", 2));
    directory.remove("e1", now);
    directory.put(entry("e1", 1));
    assertEquals(List.of(), usable());
    directory.put(entry("e1", 2));
    assertEquals(List.of("e1"), usable());
  }

  private static EndpointRecord entry(String id, long born) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", (int) born);
    return new EndpointRecord(id, "engine", address, "a", 8, false, born);
  }

  private List<String> usable() {
    return directory.usable("engine").stream().map(EndpointRecord::id).toList();
  }

  private static EndpointRecord entry(String id, boolean leaving) {
    return new EndpointRecord(id, "engine", new InetSocketAddress("127.0.0.1", 1), "a", 8, leaving);
  }
}
