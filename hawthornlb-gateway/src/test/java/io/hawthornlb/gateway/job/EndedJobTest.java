package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class EndedJobTest {

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  /** Guards against items that go on after an acknowledged end that their holder cannot read. */
  @ParameterizedTest
  @MethodSource("seeds")
  void runsNoItemOfAnEndedJobWhileItsLogIsSilent(long seed) {
    EndedJobReplay replay = new EndedJobReplay(seed);
    assertEquals(List.of(), replay.run(), "seed " + seed);
    assertTrue(replay.requests() > 0, "no item asked for an endpoint");
  }

  /** Guards against items that run on for ever once the records of their job were deleted. */
  @Test
  void runsNoItemOfAJobThatTheLogNoLongerHas() {
    EndedJobReplay replay = new EndedJobReplay(1);
    assertEquals(0, replay.runDeleted());
    assertTrue(replay.requests() > 0, "no item asked for an endpoint");
  }

  /** Guards against items that go on at the very process that has acknowledged the end. */
  @Test
  void stopsAtOnceWhereTheEndWasAcknowledged() {
    EndedJobReplay replay = new EndedJobReplay(1);
    assertEquals(0, replay.runEndedHere());
    assertTrue(replay.requests() > 0, "no item asked for an endpoint");
  }

  /** Guards against a process that runs no items while the store is away from it. */
  @Test
  void holdsItemsBackOnlyWhileTheStoreAnswersOtherCalls() {
    LogRecency recency = new LogRecency(Instant.EPOCH);
    Instant late = Instant.EPOCH.plus(LogRecency.MAX_LAG).plusMillis(1);
    assertFalse(recency.tooOld());
    recency.onAnswer(late);
    assertTrue(recency.tooOld());
    recency.onRead(late);
    assertFalse(recency.tooOld());
  }
}
