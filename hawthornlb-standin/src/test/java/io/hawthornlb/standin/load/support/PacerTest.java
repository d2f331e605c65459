package io.hawthornlb.standin.load.support;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.load.Burst;
import io.hawthornlb.standin.load.Phase;
import io.hawthornlb.standin.load.Scenario;
import io.hawthornlb.standin.report.FlowLabel;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.report.support.RunRecorder;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PacerTest {

  private static final long STALL = TimeUnit.MILLISECONDS.toNanos(200);

  private final RunClock clock = new RunClock();
  private final RunRecorder recorder = new RunRecorder();

  /** A flow whose first request blocks the sending thread and delays the nine requests after it. */
  private final class StallingFlow implements RequestFlow {

    @Override
    public FlowLabel label() {
      return new FlowLabel("f", "interactive", "w");
    }

    @Override
    public List<Phase> phases() {
      return List.of();
    }

    @Override
    public List<Burst> bursts() {
      return List.of(Burst.builder().count(10).overMillis(10).build());
    }

    @Override
    public CompletableFuture<EndedRequest> send(int number, long intendedNanos) {
      if (number == 0) {
        clock.sleepUntil(STALL);
      }
      Latency latency = Latency.whole(clock.nanos() - intendedNanos);
      return CompletableFuture.completedFuture(new EndedRequest(Outcome.answered(), latency));
    }
  }

  /**
   * Guards against coordinated omission. During a stall of an engine, later requests are sent late.
   * If their latency counted from the time of sending, the report would show only one slow request.
   */
  @Test
  void latencyOfEachDelayedRequestIncludesTheStall() {
    Scenario scenario = Scenario.builder().name("s").entries(List.of("127.0.0.1:1")).build();
    new Pacer(List.of(new StallingFlow()), scenario, clock, recorder).run();

    var total = recorder.flows().get(0).total();
    assertEquals(10, total.count());
    assertTrue(total.p50() >= 190, "p50 was " + total.p50());
  }

  @Test
  void arrivalTimesDependOnlyOnTheSeedAndMatchTheRate() {
    List<Phase> phases =
        List.of(Phase.builder().fromMillis(1_000).toMillis(11_000).perSecond(100).build());
    long[] times = ArrivalTimes.of(phases, List.of(), 60_000, new SplittableRandom(3));

    assertArrayEquals(times, ArrivalTimes.of(phases, List.of(), 60_000, new SplittableRandom(3)));
    assertEquals(1_000, times.length, 150);
    assertTrue(times[0] >= TimeUnit.SECONDS.toNanos(1));
    assertTrue(times[times.length - 1] < TimeUnit.SECONDS.toNanos(11));
  }
}
