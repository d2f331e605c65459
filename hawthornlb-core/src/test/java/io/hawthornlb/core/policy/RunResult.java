package io.hawthornlb.core.policy;

import java.util.Arrays;

/** Measurements of one simulation. */
final class RunResult {

  private static final long PREEMPT_LIMIT_MICROS = 50_000;

  private final Series answer = new Series();
  private final Series first = new Series();
  private final Series plain = new Series();
  private final Series bulk = new Series();
  int onlineRefused;
  int onlineFailed;
  int waitedAtEngine;
  int behindBatch;
  long longestWaitMicros;
  int batchDone;
  int batchWhileMeasured;
  int preempted;
  int batchStarts;
  int dueLate;
  double batchCostMicros;
  double boundCostMicros;
  double seconds;

  void online(long firstMicros, long answerMicros) {
    first.add(firstMicros);
    answer.add(answerMicros);
  }

  void bulk(long micros) {
    bulk.add(micros);
  }

  double bulkMillis(double quantile) {
    return bulk.quantile(quantile);
  }

  void plain(long micros) {
    plain.add(micros);
  }

  /** Records how long an online request waited inside an engine before it got a slot. */
  void recordWait(long micros, boolean besideBatch) {
    if (micros > PREEMPT_LIMIT_MICROS) {
      waitedAtEngine++;
      behindBatch += besideBatch ? 1 : 0;
    }
    if (besideBatch) {
      longestWaitMicros = Math.max(longestWaitMicros, micros);
    }
  }

  double answerMillis(double quantile) {
    return answer.quantile(quantile);
  }

  double firstMillis(double quantile) {
    return first.quantile(quantile);
  }

  double plainMillis(double quantile) {
    return plain.quantile(quantile);
  }

  int onlineDone() {
    return answer.size;
  }

  double batchPerSecond() {
    return batchWhileMeasured / seconds;
  }

  /** Returns the fraction of the engine time left free by online requests that batch items used. */
  double fractionOfBound() {
    return batchCostMicros / boundCostMicros;
  }

  /** Samples in microseconds, with quantiles in milliseconds. */
  private static final class Series {

    private long[] values = new long[1024];
    private int size;
    private boolean sorted;

    void add(long value) {
      if (size == values.length) {
        values = Arrays.copyOf(values, size * 2);
      }
      values[size++] = value;
      sorted = false;
    }

    double quantile(double quantile) {
      if (size == 0) {
        return 0;
      }
      if (!sorted) {
        Arrays.sort(values, 0, size);
        sorted = true;
      }
      int index = (int) Math.ceil(quantile * size) - 1;
      return values[Math.max(0, Math.min(size - 1, index))] / 1e3;
    }
  }
}
