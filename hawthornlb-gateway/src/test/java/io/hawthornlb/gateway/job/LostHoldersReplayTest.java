package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LostHoldersReplayTest {

  /** Time after a loss within which partitions must have holders; callers wait 18 s for items. */
  private static final Duration HELD_WITHIN = Duration.ofSeconds(13);

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  /** Guards against accepted jobs that nobody runs, because lost processes hold all ranks. */
  @ParameterizedTest
  @MethodSource("seeds")
  void holdsPartitionsAfterAllMembersWereLost(long seed) {
    int size = 17 + (int) seed * 3;
    LostHoldersReplay replay = new LostHoldersReplay(seed, size);
    replay.lose(16, seed % 3 * 0.3);
    replay.advance(HELD_WITHIN);
    assertFalse(replay.holders().isEmpty(), "seed " + seed);
    replay.newJoins();
    replay.advance(Duration.ofMinutes(2));
    assertTrue(replay.holders().size() >= Math.min(6, replay.left()), "seed " + seed);
    assertTrue(replay.newJoins() <= 12, "the group keeps changing with seed " + seed);
  }

  /** Guards against restarts that move partitions, and lookups that grow with the fleet. */
  @Test
  void movesNothingForRestartsAndLooksUpSeldom() {
    LostHoldersReplay replay = new LostHoldersReplay(1, 390);
    assertEquals(12, replay.newJoins());
    replay.newLookups();
    for (int rank = 0; rank < 40; rank++) {
      replay.restart(rank);
      replay.advance(Duration.ofSeconds(1));
    }
    assertEquals(0, replay.newJoins());
    replay.advance(Duration.ofMinutes(2));
    long lookups = replay.newLookups();
    assertTrue(lookups <= 4 * 160 + 40, lookups + " lookups in 160 s");
  }
}
