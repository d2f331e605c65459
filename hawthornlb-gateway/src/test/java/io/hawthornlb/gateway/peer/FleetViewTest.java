package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class FleetViewTest {

  private final Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private final FleetView fleet = new FleetView(instance("a1", "a"));

  FleetViewTest() {
    for (String name : List.of("a2", "b1", "b2", "b3", "c1")) {
      fleet.put(instance(name, name.substring(0, 1)));
    }
  }

  @Test
  void ranksIdenticallyAtEachInstance() {
    FleetView other = new FleetView(instance("c1", "c"));
    for (String name : List.of("b3", "a2", "b1", "a1", "b2")) {
      other.put(instance(name, name.substring(0, 1)));
    }
    assertEquals(names(other, now), names(fleet, now));
    assertEquals(6, names(fleet, now).size());
  }

  @Test
  void excludesAnUnresponsiveInstanceTemporarily() {
    fleet.recordSilence("c1", now);
    assertTrue(!names(fleet, now).contains("c1"));
    assertTrue(names(fleet, now.plusSeconds(2)).contains("c1"));
  }

  /**
   * Guards against callers that wait 50 ms for each process of an unreachable data centre. Two
   * unresponsive processes are enough to exclude the third.
   */
  @Test
  void excludesADataCentreOnceTwoOfItsInstancesAreUnresponsive() {
    fleet.recordSilence("b1", now);
    assertTrue(names(fleet, now).contains("b3"));
    fleet.recordSilence("b2", now);
    assertEquals(List.of("a1", "a2", "c1"), names(fleet, now).stream().sorted().toList());
    fleet.recordContact("b2");
    assertEquals(6, names(fleet, now).size());
  }

  @Test
  void neverExcludesItsOwnDataCentreAsAWhole() {
    FleetView alone = new FleetView(instance("a1", "a"));
    List.of("a2", "a3", "a4").forEach(name -> alone.put(instance(name, "a")));
    alone.recordSilence("a2", now);
    alone.recordSilence("a3", now);
    assertEquals(List.of("a1", "a4"), names(alone, now).stream().sorted().toList());
  }

  @Test
  void trustsARestartedInstance() {
    fleet.recordSilence("c1", now);
    fleet.put(new GatewayInstance("c1", "c1~next", new InetSocketAddress("127.0.0.1", 1), "c"));
    assertTrue(names(fleet, now).contains("c1"));
  }

  /**
   * Guards against computing the order of all processes for each single request for a slot, which
   * makes each request more expensive in a large fleet than in a small one.
   */
  @Test
  void computesAnOrderOncePerList() {
    assertSame(fleet.ranked("key", now), fleet.ranked("key", now));
    fleet.remove("c1");
    assertTrue(!names(fleet, now).contains("c1"));
    fleet.put(instance("c1", "c"));
    assertEquals(6, names(fleet, now).size());
    for (int key = 0; key < 1_000; key++) {
      assertEquals(6, fleet.ranked("key" + key, now).size());
    }
  }

  private static List<String> names(FleetView view, Instant now) {
    return view.ranked("key", now).stream().map(GatewayInstance::name).toList();
  }

  /**
   * Guards against late responses across the whole fleet at peak load, when the coordinator of a
   * service runs on one of the smallest instances and that instance needs all its processor time
   * for its own requests.
   */
  @Test
  void ranksLargeInstancesFirst() {
    FleetView mixed = new FleetView(sized("s0", 0.36));
    for (int i = 1; i < 20; i++) {
      mixed.put(sized((i % 4 == 0 ? "l" : "s") + i, i % 4 == 0 ? 1.5 : 0.36));
    }
    for (String key : List.of("one", "two", "three")) {
      List<GatewayInstance> ranked = mixed.ranked(key, now);
      assertEquals(20, ranked.size());
      assertTrue(ranked.subList(0, 4).stream().allMatch(each -> each.cores() > 1), key);
    }
    assertNotEquals(mixed.ranked("one", now), mixed.ranked("two", now));
  }

  private static GatewayInstance sized(String name, double cores) {
    return new GatewayInstance(
        name, name + "~1", new InetSocketAddress("127.0.0.1", 1), "a", cores);
  }

  private static GatewayInstance instance(String name, String dataCentre) {
    return new GatewayInstance(
        name, name + "~1", new InetSocketAddress("127.0.0.1", 1), dataCentre);
  }
}
