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
      new ClaimFleet(PARTITIONS, ClaimSettings.DEFAULT, MoveAtOncePolicy::new);

  @BeforeEach
  void startFleet() {
    fleet.startMany(8, 4);
    fleet.run(SETTLED);
  }

  @Test
  void everyPartitionIsHeldAndNothingMovesWithoutCause() {
    assertEquals(0, fleet.unheld());
    List<Optional<InstanceId>> before = fleet.holders();
    long claims = claims();
    assertEquals(8, new HashSet<>(before).size());

    fleet.run(Duration.ofMinutes(2));

    assertEquals(before, fleet.holders());
    assertEquals(claims, claims());
  }

  @Test
  void witnessesStandInThreeDataCentresWithTheHolder() {
    Map<InstanceId, DataCentre> places =
        fleet.nodes().stream().collect(Collectors.toMap(node -> node.id, node -> node.dataCentre));
    for (int partition = 0; partition < PARTITIONS; partition++) {
      Claim claim = fleet.current(partition).orElseThrow();
      List<InstanceId> three = new ArrayList<>(claim.witnesses());
      three.add(claim.holder());
      assertEquals(3, three.stream().map(places::get).distinct().count());
    }
  }

  // An instance is killed. Its jobs stand still until another claims its partitions, and requests
  // that run once have one witness less.
  @Test
  void partitionsAndWitnessesOfALostInstanceAreReplaced() {
    ClaimFleet.Node lost = fleet.nodes().get(3);
    fleet.kill(lost);
    assertTrue(fleet.unheld() > 0);

    fleet.run(Duration.ofSeconds(8));

    assertEquals(0, fleet.unheld());
    for (int partition = 0; partition < PARTITIONS; partition++) {
      assertFalse(fleet.current(partition).orElseThrow().witnesses().contains(lost.id));
    }
  }

  // A holder is paused for a minute and wakes up. It does not know that others hold its partitions,
  // and writes records of its dead epochs.
  @Test
  void aHolderThatWakesUpDoesNotTakeItsPartitionsBackFromTheirEpochs() {
    ClaimFleet.Node sleeper = fleet.nodes().get(2);
    Set<Epoch> before = epochs();
    sleeper.paused = true;
    fleet.run(Duration.ofMinutes(1));
    List<Optional<InstanceId>> taken = fleet.holders();
    assertFalse(taken.contains(Optional.of(sleeper.id)));

    fleet.stop(sleeper);
    fleet.tick();

    assertEquals(taken, fleet.holders());
    assertNotEquals(before, epochs());
  }

  // The log is away for two minutes, so nobody can renew. When it is back, everybody's last record
  // is old, and instances that judged by their clock alone would all take from each other.
  @Test
  void nobodyTakesOverBecauseTheLogWasAway() {
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

  // One instance is paused for two minutes. By its own clock all others have been silent since.
  @Test
  void anObserverThatWasPausedTakesNothingOver() {
    ClaimFleet.Node sleeper = fleet.nodes().get(2);
    sleeper.paused = true;
    fleet.run(Duration.ofMinutes(2));
    sleeper.paused = false;
    long end = fleet.log().size();
    fleet.run(Duration.ofSeconds(2));

    long takenBySleeper =
        fleet.log().stream()
            .filter(entry -> entry.offset() >= end)
            .filter(entry -> entry.id().writer().equals(sleeper.id))
            .filter(entry -> entry.body() instanceof ClaimRecord)
            .count();
    assertEquals(0, takenBySleeper);
  }

  @Test
  void aGracefulStopLeavesNoPartitionWithoutHolder() {
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
  void theLastInstanceReleasesWhatItHolds() {
    ClaimFleet alone = new ClaimFleet(4, ClaimSettings.DEFAULT, MoveAtOncePolicy::new);
    ClaimFleet.Node last = alone.start("dc-0");
    alone.run(SETTLED);
    assertEquals(0, alone.unheld());
    alone.stop(last);
    alone.run(Duration.ofSeconds(2));

    assertTrue(last.manager.stopped());
    assertEquals(List.of(Optional.empty()), alone.holders().stream().distinct().toList());
  }

  // Everything is replaced at once: none of the new instances is known as a holder.
  @Test
  void aFleetThatWasReplacedAtOnceTakesAllPartitions() {
    fleet.nodes().forEach(fleet::kill);
    fleet.startMany(8, 4);

    fleet.run(Duration.ofSeconds(15));

    assertEquals(0, fleet.unheld());
  }

  @Test
  void aNewInstanceGetsItsShareWithoutAGap() {
    ClaimFleet.Node added = fleet.start("dc-0");
    for (int tick = 0; tick < 80; tick++) {
      fleet.tick();
      assertEquals(0, fleet.unheld());
    }

    assertTrue(fleet.holders().contains(Optional.of(added.id)));
  }

  // Instances start and read the stream from its beginning, where they meet renewals of others that
  // are long gone. Taken for life, these made them hand partitions to the dead: nobody answered for
  // them until the others had found out once more.
  @Test
  void newInstancesHandNothingToThoseThatDiedBeforeTheyStarted() {
    List<ClaimFleet.Node> dead = fleet.nodes().subList(0, 4);
    dead.forEach(fleet::kill);
    fleet.run(SETTLED);
    fleet.startMany(4, 4);
    for (int tick = 0; tick < 120; tick++) {
      fleet.tick();
      assertEquals(0, fleet.unheld());
    }
  }

  // In a large fleet each instance renews every few seconds. One that has just started renewed each
  // second, counted four of its own renewals, and found half of the fleet silent.
  @Test
  void aNewInstanceOfALargeFleetTakesNothingFromThoseInService() {
    ClaimSettings rare =
        new ClaimSettings(
            ClaimSettings.DEFAULT.renewalInterval(),
            1,
            ClaimSettings.DEFAULT.silentAfter(),
            ClaimSettings.DEFAULT.unlistedSilentAfter(),
            ClaimSettings.DEFAULT.shortestHold(),
            ClaimSettings.DEFAULT.appendTimeout(),
            ClaimSettings.DEFAULT.snapshots());
    ClaimFleet large = new ClaimFleet(PARTITIONS, rare, MoveAtOncePolicy::new);
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

  /** The naive judgement: whoever's last record is older than a time. */
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
