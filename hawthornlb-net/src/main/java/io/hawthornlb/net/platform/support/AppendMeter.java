package io.hawthornlb.net.platform.support;

import io.hawthornlb.net.platform.AppendStatistics;
import java.time.InstantSource;

/** Counts append calls, in total and in the last whole second. Safe for use by several threads. */
final class AppendMeter {

  private final InstantSource clock;
  private long calls;
  private long records;
  private long failedCalls;
  private long recordsGivenUp;
  private long second;
  private long callsThisSecond;
  private long callsLastSecond;

  AppendMeter(InstantSource clock) {
    this.clock = clock;
    this.second = currentSecond();
  }

  synchronized void called(int recordCount) {
    advance();
    calls++;
    callsThisSecond++;
    records += recordCount;
  }

  synchronized void failed() {
    failedCalls++;
  }

  synchronized void gaveUp(int recordCount) {
    recordsGivenUp += recordCount;
  }

  synchronized AppendStatistics statistics(int pending) {
    advance();
    return new AppendStatistics(
        calls, records, failedCalls, recordsGivenUp, callsLastSecond, pending);
  }

  private void advance() {
    long now = currentSecond();
    if (now != second) {
      callsLastSecond = now == second + 1 ? callsThisSecond : 0;
      callsThisSecond = 0;
      second = now;
    }
  }

  private long currentSecond() {
    return clock.instant().getEpochSecond();
  }
}
