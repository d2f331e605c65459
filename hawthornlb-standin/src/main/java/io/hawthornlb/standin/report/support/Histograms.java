package io.hawthornlb.standin.report.support;

import io.hawthornlb.standin.report.Percentiles;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.SynchronizedHistogram;

/** Latency histograms from one microsecond to ten minutes, with three significant digits. */
public final class Histograms {

  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double P50 = 50;
  private static final double P95 = 95;
  private static final double P99 = 99;
  private static final double P999 = 99.9;

  private Histograms() {}

  /** Returns an empty histogram that can be read while other threads record values. */
  public static SynchronizedHistogram create() {
    // Reading the percentiles of an unsynchronized histogram throws an exception as soon as another
    // thread records a value.
    return new SynchronizedHistogram(1, MAX_MICROS, SIGNIFICANT_DIGITS);
  }

  /** Records a time. A time above the range of the histogram counts as the maximum of the range. */
  public static void record(AbstractHistogram histogram, long nanos) {
    long micros = Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos));
    histogram.recordValue(Math.min(micros, MAX_MICROS));
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
