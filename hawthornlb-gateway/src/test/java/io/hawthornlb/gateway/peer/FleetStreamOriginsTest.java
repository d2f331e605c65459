package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FleetStreamOriginsTest {

  private static final StreamOrigin V1 = new StreamOrigin("engine", "v1");
  private static final Duration ROUND_TRIP = Duration.ofMillis(5);

  private final VirtualLoop time = new VirtualLoop();
  private final OriginFleet fleet = new OriginFleet(time, 13, 4);

  private OriginFleet.Node node(int number) {
    return fleet.nodes.get("g" + number);
  }

  private static StreamId stream(int number) {
    return StreamId.of(null, "attempt" + number);
  }

  @Test
  void findsAStreamAfterTheWholeDataCentreOfItsInstanceIsKilled() {
    for (int i = 0; i < 100; i++) {
      node(0).origins.began(stream(i), V1);
    }
    time.advance(ROUND_TRIP);
    fleet.nodes.values().forEach(each -> each.down = each.dataCentre.equals("d0"));
    for (int i = 0; i < 100; i++) {
      List<Optional<StreamOrigin>> answers = OriginFleet.find(node(1), stream(i));
      time.advance(ROUND_TRIP);
      assertEquals(List.of(Optional.of(V1)), answers);
    }
  }

  @Test
  void keepsCopiesInDifferentDataCentresAndSpreadsThem() {
    Set<String> keepers = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      long before = fleet.datagrams;
      node(0).origins.began(stream(i), V1);
      assertEquals(FleetStreamOrigins.COPIES, fleet.datagrams - before);
      time.advance(ROUND_TRIP);
      Set<String> dataCentres = new HashSet<>();
      for (OriginFleet.Node each : fleet.nodes.values()) {
        if (each != node(0) && OriginFleet.find(each, stream(i)).size() == 1) {
          assertTrue(dataCentres.add(each.dataCentre));
          keepers.add(each.name);
        }
      }
      time.advance(FleetStreamOrigins.MAX_WAIT);
    }
    assertEquals(12, keepers.size());
  }

  /**
   * Guards against a caller that waits for its whole time although all have said that they know.
   */
  @Test
  void saysNoAtOnceIfAllSayThatTheyDoNotKnow() {
    List<Optional<StreamOrigin>> answers = OriginFleet.find(node(3), stream(1));
    time.advance(ROUND_TRIP);
    assertEquals(List.of(Optional.empty()), answers);
  }

  /** Guards against an instance that is cut off and guesses. */
  @Test
  void saysNoWithinABoundedTimeIfNobodyAnswers() {
    node(0).origins.began(stream(1), V1);
    time.advance(ROUND_TRIP);
    fleet.reaches = (from, to) -> false;
    List<Optional<StreamOrigin>> answers = OriginFleet.find(unaware(), stream(1));
    time.advance(FleetStreamOrigins.MAX_WAIT.plusMillis(2));
    assertEquals(List.of(Optional.empty()), answers);
  }

  @Test
  void asksAgainAfterALostDatagram() {
    node(0).origins.began(stream(1), V1);
    time.advance(ROUND_TRIP);
    OriginFleet.Node asker = unaware();
    fleet.reaches = (from, to) -> false;
    List<Optional<StreamOrigin>> answers = OriginFleet.find(asker, stream(1));
    fleet.reaches = (from, to) -> true;
    time.advance(Duration.ofMillis(30));
    assertEquals(List.of(Optional.of(V1)), answers);
  }

  /** Guards against keepers that all restart one after the other and then know nothing. */
  @Test
  void findsAStreamAfterOneOfItsKeepersHasRestarted() {
    node(0).origins.began(stream(1), V1);
    time.advance(ROUND_TRIP);
    OriginFleet.Node keeper =
        fleet.nodes.values().stream()
            .filter(each -> each != node(0) && !OriginFleet.find(each, stream(1)).isEmpty())
            .findFirst()
            .orElseThrow();
    fleet.start(keeper.name, keeper.dataCentre);
    List<Optional<StreamOrigin>> answers =
        OriginFleet.find(fleet.nodes.get(keeper.name), stream(1));
    time.advance(ROUND_TRIP);
    assertEquals(List.of(Optional.of(V1)), answers);
  }

  @Test
  void answersAllThatAskForOneStream() {
    node(0).origins.began(stream(1), V1);
    time.advance(ROUND_TRIP);
    OriginFleet.Node asker = unaware();
    List<Optional<StreamOrigin>> first = OriginFleet.find(asker, stream(1));
    List<Optional<StreamOrigin>> second = OriginFleet.find(asker, stream(1));
    time.advance(ROUND_TRIP);
    assertEquals(List.of(Optional.of(V1)), first);
    assertEquals(first, second);
  }

  /** Guards against work for each stream that grows with the fleet. */
  @Test
  void looksAtTheClockAsOftenForAStreamInALargeFleet() {
    OriginFleet large = new OriginFleet(time, 89, 4);
    large.nodes.get("g0").origins.began(stream(1), V1);
    node(0).origins.began(stream(1), V1);
    assertEquals(fleet.clockReadings, large.clockReadings);
  }

  /** Returns an instance that has just started. */
  private OriginFleet.Node unaware() {
    fleet.start("g12", "d0");
    return node(12);
  }
}
