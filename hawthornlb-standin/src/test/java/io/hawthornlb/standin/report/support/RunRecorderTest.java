package io.hawthornlb.standin.report.support;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.standin.report.FlowLabel;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.report.Percentiles;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RunRecorderTest {

  private static final FlowLabel LABEL = new FlowLabel("f", "interactive", "w");

  @Property(tries = 200, seed = "4711")
  void percentilesMatchThoseOfTheSortedTimes(
      @ForAll @Size(min = 1, max = 300) List<@IntRange(min = 1, max = 100_000) Integer> micros) {
    RunRecorder recorder = new RunRecorder();
    micros.forEach(
        time ->
            recorder.ended(
                LABEL, Outcome.answered(), Latency.whole(TimeUnit.MICROSECONDS.toNanos(time)), 0));
    Percentiles total = recorder.classes().get(0).total();
    int[] sorted = micros.stream().mapToInt(time -> time).sorted().toArray();

    assertEquals(sorted.length, total.count());
    assertNear(rank(sorted, 50), total.p50());
    assertNear(rank(sorted, 95), total.p95());
    assertNear(rank(sorted, 99), total.p99());
    assertNear(sorted[sorted.length - 1], total.max());
  }

  private static int rank(int[] sorted, int percentile) {
    return sorted[(int) Math.ceil(sorted.length * percentile / 100.0) - 1];
  }

  private static void assertNear(int micros, double millis) {
    assertEquals(micros / 1_000.0, millis, micros / 1_000.0 * 0.002);
  }

  @Test
  void firstTokenCountsFromTheIntendedStartAndGapsFromThePreviousToken() {
    RunRecorder recorder = new RunRecorder();
    List<Long> tokens =
        Arrays.asList(5L, 7L, 10L).stream().map(TimeUnit.MILLISECONDS::toNanos).toList();
    recorder.sent(LABEL);
    recorder.ended(LABEL, Outcome.answered(), new Latency(tokens, tokens.get(2)), 0);

    var flow = recorder.flows().get(0);
    assertEquals(5.0, flow.firstToken().max(), 0.01);
    assertEquals(2, flow.tokenGap().count());
    assertEquals(3.0, flow.tokenGap().max(), 0.01);
  }

  /**
   * Guards against a failure of the load tool during a run at a high rate. The progress line reads
   * the percentiles of a histogram while other threads record answers, and an unsynchronized
   * histogram throws an exception then.
   */
  @Test
  void resultsCanBeReadWhileAnswersAreRecorded() throws InterruptedException {
    RunRecorder recorder = new RunRecorder();
    Thread writer =
        new Thread(
            () -> {
              for (int time = 1; time <= 300_000; time++) {
                recorder.ended(LABEL, Outcome.answered(), Latency.whole(time * 1_000L), 0);
              }
            });
    writer.start();
    while (writer.isAlive()) {
      recorder.flows();
      recorder.classes();
    }
    writer.join();
    assertEquals(300_000, recorder.flows().get(0).total().count());
  }

  @Test
  void eachOutcomeCountsOnceUnderItsKind() {
    RunRecorder recorder = new RunRecorder();
    List<Outcome> outcomes =
        List.of(
            Outcome.refused("limit-exceeded", "not-run", Optional.empty()),
            Outcome.failed("timeout"),
            Outcome.cut("ends-early"),
            Outcome.wrong("foreign"));
    recorder.sent(LABEL);
    outcomes.forEach(outcome -> recorder.sent(LABEL));
    outcomes.forEach(outcome -> recorder.ended(LABEL, outcome, Latency.whole(1), 0));

    var flow = recorder.flows().get(0);
    assertEquals("limit-exceeded", flow.refused().get(0).name());
    assertEquals("not-run", flow.refusedRun().get(0).name());
    assertEquals("timeout", flow.failed().get(0).name());
    assertEquals("ends-early", flow.cut().get(0).name());
    assertEquals("foreign", flow.wrong().get(0).name());
    assertEquals(1, flow.unfinished());
  }
}
