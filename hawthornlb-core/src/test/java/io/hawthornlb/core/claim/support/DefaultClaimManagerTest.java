package io.hawthornlb.core.claim.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DefaultClaimManagerTest {

  private static final int PARTITIONS = 64;
  private static final Duration SETTLED = Duration.ofSeconds(20);

  private final ClaimFleet fleet =
      new ClaimFleet(PARTITIONS, ClaimSettings.DEFAULT, ImmediatePlacementPolicy::new);

  @BeforeEach
  void startFleet() {
    fleet.startMany(8, 4);
    fleet.run(SETTLED);
  }

  @Test
  void everyPartitionIsHeldAndNoneMovesWithoutCause() {
    assertEquals(0, fleet.unheld());
    List<Optional<InstanceId>> before = fleet.holders();
    long claims = claims();
    assertEquals(8, new HashSet<>(before).size());

    fleet.run(Duration.ofMinutes(2));

    assertEquals(before, fleet.holders());
    assertEquals(claims, claims());
  }

  @Test
  void holderAndReplicasRunInThreeDataCentres() {
    Map<InstanceId, DataCentre> places =
        fleet.nodes().stream().collect(Collectors.toMap(node -> node.id, node -> node.dataCentre));
    for (int partition = 0; partition < PARTITIONS; partition++) {
      Claim claim = fleet.current(partition).orElseThrow();
      List<InstanceId> three = new ArrayList<>(claim.witnesses());
      three.add(claim.holder());
      assertEquals(3, three.stream().map(places::get).distinct().count());
    }
  }

  // An instance is killed. The jobs of its partitions make no progress until another instance
  // claims the partitions, and run-once requests have one replica less.
  @Test
  void partitionsAndReplicasOfALostInstanceAreReplaced() {
    ClaimFleet.Node lost = fleet.nodes().get(3);
    fleet.kill(lost);
    assertTrue(fleet.unheld() > 0);

    fleet.run(Duration.ofSeconds(8));

    assertEquals(0, fleet.unheld());
    for (int partition = 0; partition < PARTITIONS; partition++) {
      assertFalse(fleet.current(partition).orElseThrow().witnesses().contains(lost.id));
    }
  }

  // A holder is paused for a minute and resumes. It does not know that other instances hold its
  // partitions now, and writes records with superseded epochs.
  @Test
  void resumedHolderDoesNotTakeItsPartitionsBack() {
    ClaimFleet.Node pausedNode = fleet.nodes().get(2);
    Set<Epoch> before = epochs();
    pausedNode.paused = true;
    fleet.run(Duration.ofMinutes(1));
    List<Optional<InstanceId>> taken = fleet.holders();
    assertFalse(taken.contains(Optional.of(pausedNode.id)));

    fleet.stop(pausedNode);
    fleet.tick();

    assertEquals(taken, fleet.holders());
    assertNotEquals(before, epochs());
  }

  // The log is unavailable for two minutes, so no instance can renew. When the log is back, the
  // last record of every instance is old. Instances that measured silence by the clock would all
  // take partitions from each other.
  @Test
  void noPartitionMovesAfterAnOutageOfTheLog() {
    List<Optional<InstanceId>> before = fleet.holders();
    long claims = claims();
    fleet.logDown = true;
    fleet.run(Duration.ofMinutes(2));
    assertEquals(fleet.nodes().size(), silentByClock(Duration.ofSeconds(4)).size());

    fleet.logDown = false;
    fleet.run(Duration.ofSeconds(30));

    assertEquals(before, fleet.holders());
    assertEquals(claims, claims());
  }

  // One instance is paused for two minutes. By its own clock, all other instances have been silent
  // since then.
  @Test
  void resumedObserverClaimsNoPartition() {
    ClaimFleet.Node pausedNode = fleet.nodes().get(2);
    pausedNode.paused = true;
    fleet.run(Duration.ofMinutes(2));
    pausedNode.paused = false;
    long end = fleet.log().size();
    fleet.run(Duration.ofSeconds(2));

    long claimsOfPausedNode =
        fleet.log().stream()
            .filter(entry -> entry.offset() >= end)
            .filter(entry -> entry.id().writer().equals(pausedNode.id))
            .filter(entry -> entry.body() instanceof ClaimRecord)
            .count();
    assertEquals(0, claimsOfPausedNode);
  }

  @Test
  void gracefulStopLeavesNoPartitionWithoutHolder() {
    ClaimFleet.Node leaving = fleet.nodes().get(5);
    fleet.stop(leaving);
    for (int tick = 0; tick < 40 && !leaving.manager.stopped(); tick++) {
      fleet.tick();
      assertEquals(0, fleet.unheld());
    }

    assertTrue(leaving.manager.stopped());
    fleet.kill(leaving);
    assertEquals(0, fleet.unheld());
  }

  @Test
  void lastInstanceReleasesItsPartitions() {
    ClaimFleet alone = new ClaimFleet(4, ClaimSettings.DEFAULT, ImmediatePlacementPolicy::new);
    ClaimFleet.Node last = alone.start("dc-0");
    alone.run(SETTLED);
    assertEquals(0, alone.unheld());
    alone.stop(last);
    alone.run(Duration.ofSeconds(2));

    assertTrue(last.manager.stopped());
    assertEquals(List.of(Optional.empty()), alone.holders().stream().distinct().toList());
  }

  // All instances are replaced at the same moment, so no new instance holds a partition.
  @Test
  void fullyReplacedFleetClaimsAllPartitions() {
    fleet.nodes().forEach(fleet::kill);
    fleet.startMany(8, 4);

    fleet.run(Duration.ofSeconds(15));

    assertEquals(0, fleet.unheld());
  }

  @Test
  void newInstanceGetsItsShareWithoutUnheldPartitions() {
    ClaimFleet.Node added = fleet.start("dc-0");
    for (int tick = 0; tick < 80; tick++) {
      fleet.tick();
      assertEquals(0, fleet.unheld());
    }

    assertTrue(fleet.holders().contains(Optional.of(added.id)));
  }

  // Guards against handovers to dead instances. New instances read the stream from its beginning,
  // including renewals of instances that died long ago. If these renewals counted as heartbeats,
  // the new instances would hand partitions to dead instances, and the partitions would have no
  // running holder until the dead instances were found silent again.
  @Test
  void newInstancesHandNoPartitionToInstancesThatDiedBefore() {
    List<ClaimFleet.Node> dead = fleet.nodes().subList(0, 4);
    dead.forEach(fleet::kill);
    fleet.run(SETTLED);
    fleet.startMany(4, 4);
    for (int tick = 0; tick < 120; tick++) {
      fleet.tick();
      assertEquals(0, fleet.unheld());
    }
  }

  // Guards against takeovers by a new instance of a large fleet, in which each instance renews
  // every few seconds. If the new instance renewed each second and counted four of its own renewals
  // as silence, it would consider half of the fleet silent.
  @Test
  void newInstanceOfALargeFleetClaimsNoPartitionOfLiveInstances() {
    ClaimSettings rare =
        new ClaimSettings(
            ClaimSettings.DEFAULT.renewalInterval(),
            1,
            ClaimSettings.DEFAULT.silentAfter(),
            ClaimSettings.DEFAULT.unlistedSilentAfter(),
            ClaimSettings.DEFAULT.shortestHold(),
            ClaimSettings.DEFAULT.appendTimeout(),
            ClaimSettings.DEFAULT.snapshots());
    ClaimFleet large = new ClaimFleet(PARTITIONS, rare, ImmediatePlacementPolicy::new);
    large.startMany(9, 3);
    large.run(Duration.ofMinutes(3));
    assertEquals(0, large.unheld());
    int end = large.log().size();
    ClaimFleet.Node added = large.start("dc-0");
    large.run(Duration.ofMinutes(2));

    long taken =
        large.log().stream()
            .skip(end)
            .filter(entry -> entry.id().writer().equals(added.id))
            .filter(entry -> entry.body() instanceof ClaimRecord)
            .count();
    assertEquals(0, taken);
    assertTrue(large.holders().contains(Optional.of(added.id)));
  }

  private long claims() {
    return fleet.log().stream().filter(entry -> entry.body() instanceof ClaimRecord).count();
  }

  private Set<Epoch> epochs() {
    Set<Epoch> epochs = new HashSet<>();
    for (int partition = 0; partition < PARTITIONS; partition++) {
      fleet.current(partition).map(Claim::epoch).ifPresent(epochs::add);
    }
    return epochs;
  }

  /**
   * Returns the instances that are silent by the clock: their last record is older than a given
   * time.
   */
  private Set<InstanceId> silentByClock(Duration time) {
    Map<InstanceId, LogRecord> last =
        fleet.log().stream()
            .collect(
                Collectors.toMap(
                    entry -> entry.id().writer(), Function.identity(), (first, second) -> second));
    return last.values().stream()
        .filter(entry -> entry.appendedAt().isBefore(fleet.now().minus(time)))
        .map(entry -> entry.id().writer())
        .collect(Collectors.toSet());
  }
}
