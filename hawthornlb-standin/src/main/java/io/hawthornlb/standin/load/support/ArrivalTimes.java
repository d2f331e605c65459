package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.Burst;
import io.hawthornlb.standin.load.Phase;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

/** Computes the arrival times of requests in advance, independently of answers (open loop). */
public final class ArrivalTimes {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private ArrivalTimes() {}

  /** Returns the sorted arrival times of a flow, in nanoseconds from the start of the run. */
  public static long[] of(
      List<Phase> phases, List<Burst> bursts, long durationMillis, SplittableRandom random) {
    LongStream.Builder times = LongStream.builder();
    phases.forEach(phase -> addPhase(times, phase, random.split()));
    bursts.forEach(burst -> addBurst(times, burst));
    return times.build().filter(at -> at < durationMillis * NANOS_PER_MILLI).sorted().toArray();
  }

  private static void addPhase(LongStream.Builder times, Phase phase, SplittableRandom random) {
    if (phase.perSecond() == 0) {
      return;
    }
    double at = phase.fromMillis() * (double) NANOS_PER_MILLI;
    double end = phase.toMillis() * (double) NANOS_PER_MILLI;
    while (true) {
      at -= Math.log(1 - random.nextDouble()) / phase.perSecond() * NANOS_PER_SECOND;
      if (at >= end) {
        return;
      }
      times.add((long) at);
    }
  }

  private static void addBurst(LongStream.Builder times, Burst burst) {
    long gap = burst.overMillis() * NANOS_PER_MILLI / burst.count();
    for (int index = 0; index < burst.count(); index++) {
      times.add(burst.atMillis() * NANOS_PER_MILLI + index * gap);
    }
  }
}
