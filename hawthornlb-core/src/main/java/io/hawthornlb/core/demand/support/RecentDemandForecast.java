package io.hawthornlb.core.demand.support;

import io.hawthornlb.core.demand.DemandForecast;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Expects that requests keep arriving as they did in the last second. */
public final class RecentDemandForecast implements DemandForecast {

  private static final Duration SPAN = Duration.ofSeconds(1);

  private record Arrival(Duration work, Instant at) {}

  private final Deque<Arrival> arrivals = new ArrayDeque<>();
  private long workMillis;

  @Override
  public void arrived(Duration work, Instant now) {
    arrivals.add(new Arrival(work, now));
    workMillis += work.toMillis();
    dropOld(now);
  }

  @Override
  public double slotsNeeded(Instant now, Duration ahead) {
    dropOld(now);
    return (double) workMillis / SPAN.toMillis();
  }

  @Override
  public Duration untilRoom(double slots, Instant now) {
    return slotsNeeded(now, Duration.ZERO) < slots ? Duration.ZERO : SPAN;
  }

  private void dropOld(Instant now) {
    Instant oldest = now.minus(SPAN);
    while (!arrivals.isEmpty() && arrivals.peek().at().isBefore(oldest)) {
      workMillis -= arrivals.remove().work().toMillis();
    }
  }
}
