package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Compares the share of resumed streams that go on with the share of new streams that begin, where
 * two endpoints of their version serve. The first must be half of the second or more.
 */
class ResumedStreamsReplayTest {

  private static final long SEEDS = 5;
  private static final int MIN_RESUMED = 12;

  /** Faults after which callers resume their streams. */
  enum Fault {
    DATA_CENTRE_KILLED(replay -> replay.kill(0.25)),
    FIVE_OF_THIRTEEN_KILLED(replay -> replay.kill(0.385)),
    HALF_KILLED(replay -> replay.kill(0.5)),
    FIVE_OF_THIRTEEN_KILLED_TWICE(
        replay -> {
          replay.kill(0.385);
          replay.run(Duration.ofSeconds(2));
          replay.kill(0.385);
        }),
    KILLED_WHILE_DATAGRAMS_ARE_LOST(
        replay -> {
          replay.lose(0.1);
          replay.run(Duration.ofSeconds(1));
          replay.kill(0.385);
        }),
    DATA_CENTRE_CUT(ResumedStreamsReplay::cut);

    private final Consumer<ResumedStreamsReplay> faults;

    Fault(Consumer<ResumedStreamsReplay> faults) {
      this.faults = faults;
    }
  }

  @ParameterizedTest
  @EnumSource
  void continuesHalfAsOftenAsItBeginsInASmallFleet(Fault fault) {
    check(fault, seed -> new ResumedStreamsReplay(seed, 13, 4, 13, 0.6));
  }

  @ParameterizedTest
  @EnumSource
  void continuesHalfAsOftenAsItBeginsAtALoadPeak(Fault fault) {
    check(fault, seed -> new ResumedStreamsReplay(seed, 13, 4, 13, 1.1));
  }

  @ParameterizedTest
  @EnumSource
  void continuesHalfAsOftenAsItBeginsInALargeFleet(Fault fault) {
    check(fault, seed -> new ResumedStreamsReplay(seed, 89, 4, 62, 0.6));
  }

  private static void check(Fault fault, LongFunction<ResumedStreamsReplay> replays) {
    int resumed = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      ResumedStreamsReplay replay = replays.apply(seed);
      replay.release(3);
      replay.run(Duration.ofSeconds(1));
      fault.faults.accept(replay);
      replay.run(Duration.ofSeconds(2));
      String figures = fault + " seed " + seed + ": " + replay.figures();
      System.out.println(figures);
      assertEquals(0, replay.mixed, figures);
      assertTrue(replay.shareContinued() >= replay.shareBegun() / 2, figures);
      resumed += replay.resumed;
    }
    assertTrue(resumed >= MIN_RESUMED, fault + ": " + resumed + " streams were resumed");
  }
}
