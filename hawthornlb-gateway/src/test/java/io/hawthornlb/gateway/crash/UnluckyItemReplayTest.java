package io.hawthornlb.gateway.crash;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.function.BiConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class UnluckyItemReplayTest {

  private static final long SEEDS = 20;

  /** Time after the last crash in which the item must be at an endpoint again. */
  private static final Duration BOUND = Duration.ofSeconds(5);

  /** What happens before the calm. */
  enum Fault {
    ONE_BURST((replay, random) -> burst(replay, Duration.ofSeconds(20))),
    THREE_BURSTS(
        (replay, random) -> {
          for (int i = 0; i < 3; i++) {
            burst(replay, Duration.ofMillis(1_600));
            replay.unreachable = true;
            replay.time.advance(Duration.ofMillis(random.nextInt(6_000)));
            replay.unreachable = false;
          }
          burst(replay, Duration.ofMillis(1_600));
        }),
    PROBES_REACH_NOBODY(
        (replay, random) -> {
          burst(replay, Duration.ofSeconds(5));
          replay.unreachable = true;
          replay.time.advance(Duration.ofSeconds(20));
          replay.unreachable = false;
        }),
    ALL_RESTARTED(
        (replay, random) -> {
          burst(replay, Duration.ofSeconds(5));
          replay.restartAll();
        }),
    NEW_HOLDERS(
        (replay, random) -> {
          for (int i = 0; i < 5; i++) {
            burst(replay, Duration.ofMillis(500 + random.nextInt(3_000)));
            replay.hold();
          }
        });

    private final BiConsumer<UnluckyItemReplay, Random> events;

    Fault(BiConsumer<UnluckyItemReplay, Random> events) {
      this.events = events;
    }

    private static void burst(UnluckyItemReplay replay, Duration time) {
      replay.burst = true;
      replay.time.advance(time);
      replay.burst = false;
    }
  }

  /** Guards against an item that is never sent again, as endpoints crashed while they ran it. */
  @ParameterizedTest
  @EnumSource
  void sendsAnItemAgainSoonAfterTheLastCrash(Fault fault) {
    Duration longest = Duration.ZERO;
    for (long seed = 1; seed <= SEEDS; seed++) {
      UnluckyItemReplay replay = new UnluckyItemReplay(seed);
      fault.events.accept(replay, new Random(seed));
      Instant calm = replay.time.instant();
      replay.time.advance(Duration.ofSeconds(40));
      String figures = fault + " seed " + seed + ": sent " + replay.sent;
      assertNotNull(replay.begun, figures);
      Duration waited = Duration.between(calm, replay.begun);
      longest = waited.compareTo(longest) > 0 ? waited : longest;
      assertTrue(waited.compareTo(BOUND) <= 0, figures + ", after " + waited);
    }
    System.out.println(fault + ": begun " + longest.toMillis() + " ms after the last crash");
  }
}
