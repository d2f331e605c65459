package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LostInstancesReplayTest {

  private static final int DATA_CENTRES = 4;
  private static final double LOST_DATAGRAMS = 0.02;

  /** Longest network partition, freeze or power cut that removes nobody. */
  private static final Duration ORDINARY_FAULT = Duration.ofSeconds(20);

  private final VirtualLoop time = new VirtualLoop();

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  /** Guards against lost instances that stay listed for ever and rank before others. */
  @ParameterizedTest
  @MethodSource("seeds")
  void removesLostInstancesAndNoOthers(long seed) {
    Random random = new Random(seed);
    WatchedFleet fleet = new WatchedFleet(time, 13 + random.nextInt(28), DATA_CENTRES);
    fleet.reaches = (from, to) -> random.nextDouble() >= LOST_DATAGRAMS;
    double lost = 0.1 + 0.6 * random.nextDouble();
    fleet.nodes.values().forEach(node -> node.down = random.nextDouble() < lost);
    fleet.nodes.get("g0").down = false;
    time.advance(Duration.ofSeconds(120));
    List<String> alive = fleet.alive().stream().map(node -> node.name).sorted().toList();
    boolean wholeDataCentreLost =
        fleet.alive().stream().map(node -> node.dataCentre).distinct().count() < DATA_CENTRES;
    for (WatchedFleet.Node node : fleet.alive()) {
      List<String> others = alive.stream().filter(name -> !name.equals(node.name)).toList();
      assertTrue(WatchedFleet.listed(node).containsAll(others), "seed " + seed);
      if (!wholeDataCentreLost) {
        assertEquals(others, WatchedFleet.listed(node), "seed " + seed);
      }
    }
    assertEquals(0, fleet.removedAlive, "seed " + seed);
  }

  /** Guards against instances that are removed in an ordinary network partition or power cut. */
  @ParameterizedTest
  @MethodSource("seeds")
  void removesNobodyInOrdinaryFaults(long seed) {
    Random random = new Random(seed);
    WatchedFleet fleet = new WatchedFleet(time, 13, DATA_CENTRES);
    time.advance(Duration.ofSeconds(10));
    String cutOff = "d" + random.nextInt(DATA_CENTRES);
    String alone = "g" + random.nextInt(13);
    fleet.reaches =
        (from, to) ->
            from.dataCentre.equals(cutOff) == to.dataCentre.equals(cutOff)
                && !from.name.equals(alone)
                && !to.name.equals(alone)
                && random.nextDouble() >= LOST_DATAGRAMS;
    time.advance(ORDINARY_FAULT);
    fleet.reaches = (from, to) -> true;
    time.advance(Duration.ofSeconds(60));
    assertEquals(0, fleet.removedAlive, "seed " + seed);
    assertEquals(12, WatchedFleet.listed(fleet.nodes.get("g0")).size());
  }

  /** Guards against a list that changes for ever while two instances can't reach each other. */
  @Test
  void removesAnUnreachableInstanceOnce() {
    WatchedFleet fleet = new WatchedFleet(time, 13, DATA_CENTRES);
    fleet.reaches = (from, to) -> !from.name.equals("g3") && !to.name.equals("g3");
    time.advance(Duration.ofMinutes(9));
    assertTrue(fleet.removedAlive <= 4, fleet.removedAlive + " removals of one instance");
  }

  /** Guards against a lost instance that stays listed since the store was away at its removal. */
  @Test
  void removesALostInstanceOnceTheStoreIsBack() {
    WatchedFleet fleet = new WatchedFleet(time, 13, DATA_CENTRES);
    fleet.storeAway = true;
    fleet.nodes.get("g3").down = true;
    time.advance(Duration.ofSeconds(60));
    fleet.storeAway = false;
    time.advance(Duration.ofSeconds(10));
    assertEquals(11, WatchedFleet.listed(fleet.nodes.get("g0")).size());
  }

  /** Guards against a cost that grows with the fleet. */
  @Test
  void asksOneInstanceAtATime() {
    WatchedFleet fleet = new WatchedFleet(time, 390, DATA_CENTRES);
    time.advance(Duration.ofSeconds(30));
    double datagrams = fleet.datagrams / 390.0 / 30;
    assertTrue(datagrams <= 0.7, datagrams + " datagrams a second and instance");
  }
}
