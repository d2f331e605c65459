package io.hawthornlb.gateway.metric;

import java.time.Duration;
import java.util.concurrent.atomic.LongAdder;

/** Histogram of durations, with bucket bounds that double from 1 ms to 16 s. */
final class LatencyHistogram {

  private static final int BUCKETS = 15;

  private final LongAdder[] buckets = new LongAdder[BUCKETS + 1];
  private final LongAdder totalMillis = new LongAdder();

  LatencyHistogram() {
    for (int i = 0; i < buckets.length; i++) {
      buckets[i] = new LongAdder();
    }
  }

  void record(Duration time) {
    long millis = Math.max(0, time.toMillis());
    int bucket = 0;
    while (bucket < BUCKETS && millis > bound(bucket)) {
      bucket++;
    }
    buckets[bucket].increment();
    totalMillis.add(millis);
  }

  /** Returns the upper bound of a bucket in milliseconds. */
  static long bound(int bucket) {
    return 1L << bucket;
  }

  static int bucketCount() {
    return BUCKETS;
  }

  /** Returns the number of durations up to the bound of a bucket. */
  long upTo(int bucket) {
    long count = 0;
    for (int i = 0; i <= bucket; i++) {
      count += buckets[i].sum();
    }
    return count;
  }

  long count() {
    return upTo(BUCKETS);
  }

  long totalMillis() {
    return totalMillis.sum();
  }
}
