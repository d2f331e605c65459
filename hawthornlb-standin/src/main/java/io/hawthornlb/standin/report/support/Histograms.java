package io.hawthornlb.standin.report.support;

import io.hawthornlb.standin.report.Percentiles;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.SynchronizedHistogram;

/** Latency histograms from a microsecond to ten minutes, with three digits. */
public final class Histograms {

  private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double P50 = 50;
  private static final double P95 = 95;
  private static final double P99 = 99;
  private static final double P999 = 99.9;

  private Histograms() {}

  /** Returns an empty histogram that can be read while others record. */
  public static SynchronizedHistogram create() {
    // Reading percentiles of a histogram with free writers ends in a failure as soon as one writes.
    return new SynchronizedHistogram(1, HIGHEST_MICROS, DIGITS);
  }

  /** Records a time; one beyond the range counts as the highest. */
  public static void record(AbstractHistogram histogram, long nanos) {
    long micros = Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos));
    histogram.recordValue(Math.min(micros, HIGHEST_MICROS));
  }

  /** Returns the percentiles in milliseconds. */
  public static Percentiles percentiles(AbstractHistogram histogram) {
    if (histogram.getTotalCount() == 0) {
      return new Percentiles(0, 0, 0, 0, 0, 0, 0);
    }
    return new Percentiles(
        histogram.getTotalCount(),
        histogram.getMean() / MICROS_PER_MILLI,
        millis(histogram, P50),
        millis(histogram, P95),
        millis(histogram, P99),
        millis(histogram, P999),
        histogram.getMaxValue() / MICROS_PER_MILLI);
  }

  private static double millis(AbstractHistogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
