package io.hawthornlb.standin.report.support;

import io.hawthornlb.standin.report.FlowLabel;
import io.hawthornlb.standin.report.FlowResult;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.Outcome;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.SynchronizedHistogram;

/** Records the measurements of one flow. Safe for use by multiple threads. */
final class FlowRecorder {

  private final FlowLabel label;
  private final LongAdder sent = new LongAdder();
  private final LongAdder answered = new LongAdder();
  private final Counts resent = new Counts();
  private final Counts refused = new Counts();
  private final Counts refusedRun = new Counts();
  private final Counts failed = new Counts();
  private final Counts cut = new Counts();
  private final Counts wrong = new Counts();
  private final SynchronizedHistogram firstToken = Histograms.create();
  private final SynchronizedHistogram tokenGap = Histograms.create();
  private final SynchronizedHistogram total = Histograms.create();

  FlowRecorder(FlowLabel label) {
    this.label = label;
  }

  FlowLabel label() {
    return label;
  }

  SynchronizedHistogram total() {
    return total;
  }

  void sent() {
    sent.increment();
  }

  void resent(Outcome cause) {
    resent.add(cause.reason());
  }

  void ended(Outcome outcome, Latency latency) {
    switch (outcome.kind()) {
      case ANSWERED -> {
        answered.increment();
        recordLatency(latency);
      }
      case REFUSED -> {
        refused.add(outcome.reason());
        refusedRun.add(outcome.run());
      }
      case FAILED -> failed.add(outcome.reason());
      case CUT -> cut.add(outcome.reason());
      case WRONG -> wrong.add(outcome.reason());
      default -> throw new IllegalStateException("unknown outcome " + outcome.kind());
    }
  }

  FlowResult result() {
    long ended = answered.sum() + refused.sum() + failed.sum() + cut.sum() + wrong.sum();
    return new FlowResult(
        label,
        sent.sum(),
        answered.sum(),
        sent.sum() - ended,
        resent.list(),
        refused.list(),
        refusedRun.list(),
        failed.list(),
        cut.list(),
        wrong.list(),
        Histograms.percentiles(firstToken),
        Histograms.percentiles(tokenGap),
        Histograms.percentiles(total));
  }

  private void recordLatency(Latency latency) {
    Histograms.record(total, latency.total());
    long previous = 0;
    for (long token : latency.tokens()) {
      Histograms.record(previous == 0 ? firstToken : tokenGap, token - previous);
      previous = token;
    }
  }
}
