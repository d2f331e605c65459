package io.hawthornlb.core.learned;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LearnedStateSelectionTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final LoadCycle CYCLE =
      new LoadCycle(20, 90, Duration.ofMillis(3_600), Duration.ofMillis(2_400));

  private final LearnedStateSelection selection = new LearnedStateSelection();

  private static LearnedState state(long version, String... endpoints) {
    LearnedState.Builder state = LearnedState.builder().version(version).usualOutputTokens(21);
    List.of(endpoints).forEach(each -> state.pace(each, new IncarnationPace(1, version)));
    return state.loadCycle(CYCLE).build();
  }

  private boolean offer(String coordinator, long version, long ageSeconds, String... endpoints) {
    Instant learnedAt = NOW.minusSeconds(ageSeconds);
    return selection.offer(
        new LearnedStateCandidate(coordinator, state(version, endpoints), learnedAt), NOW);
  }

  private String newest() {
    return selection
        .newest(List.of("a", "b", "c")::indexOf, NOW)
        .map(each -> each.coordinator() + each.state().version())
        .orElse("none");
  }

  /** Guards against a forecast of a load that has ended long ago. */
  @Test
  void usesLessOfAnOlderState() {
    LearnedState state = state(1, "e");
    assertEquals(Optional.of(state), LearnedStateSelection.usable(state, Duration.ofSeconds(60)));
    LearnedState slow =
        LearnedState.builder().version(1).pace("e", new IncarnationPace(1, 1)).build();
    assertEquals(Optional.of(slow), LearnedStateSelection.usable(state, Duration.ofSeconds(61)));
    assertEquals(Optional.of(slow), LearnedStateSelection.usable(state, Duration.ofSeconds(600)));
    assertEquals(Optional.empty(), LearnedStateSelection.usable(state, Duration.ofSeconds(601)));
  }

  /** Guards against a delayed or repeated datagram that replaces a newer state. */
  @Test
  void keepsTheHighestVersionOfACoordinator() {
    assertTrue(offer("a", 2, 0));
    assertFalse(offer("a", 1, 0));
    assertTrue(offer("a", 2, 9));
    assertEquals("a2", newest());
    assertEquals(Duration.ofSeconds(9), selection.newest(any -> 0, NOW).orElseThrow().age(NOW));
    assertFalse(offer("b", 9, 601));
  }

  /** Guards against the loss of all paces when one datagram of a split state is lost. */
  @Test
  void keepsThePacesOfALostPart() {
    offer("a", 1, 2, "e1", "e2");
    offer("a", 2, 0, "e1");
    LearnedState merged = selection.newest(any -> 0, NOW).orElseThrow().state();
    assertEquals(Set.of("e1", "e2"), merged.paces().keySet());
    assertEquals(2, merged.paces().get("e1").factor());
  }

  /** Guards against the loss of recent learning because an earlier coordinator ranks higher. */
  @Test
  void prefersTheMostRecentState() {
    offer("a", 9, 30);
    offer("c", 3, 1);
    assertEquals("c3", newest());
  }

  /** Guards against instances that continue from different sides of a network partition. */
  @Test
  void prefersTheHighestRankAmongConcurrentCoordinators() {
    offer("b", 9, 0);
    offer("a", 3, 2);
    assertEquals("a3", newest());
  }

  /** Guards against foreign versions and times that block all later states of a coordinator. */
  @Test
  void ignoresImplausibleVersionsAndTimes() {
    assertFalse(offer("a", Long.MAX_VALUE, 0));
    assertFalse(offer("a", 2, -61));
    assertTrue(offer("a", 1, -30));
    assertEquals(NOW, selection.newest(any -> 0, NOW).orElseThrow().learnedAt());
  }

  /** Guards against memory that grows with the names of coordinators and endpoints. */
  @Test
  void boundsWhatItKeeps() {
    for (int i = 0; i < 600; i++) {
      offer("a", 5, 3, "e" + i);
      offer("x" + i, 1, 100 + i % 400);
    }
    assertEquals("a5", newest());
    int paces = selection.newest(any -> 0, NOW).orElseThrow().state().paces().size();
    assertTrue(paces <= LearnedState.MAX_ENDPOINTS, "kept " + paces);
  }

  /** Guards against a restarted coordinator whose new states are taken for old ones. */
  @Test
  void continuesVersionsAcrossRestartsAndClocks() {
    assertEquals(NOW.toEpochMilli(), LearnedStateSelection.nextVersion(0, NOW));
    long ahead = NOW.toEpochMilli() + 500;
    assertEquals(ahead + 1, LearnedStateSelection.nextVersion(ahead, NOW));
  }
}
