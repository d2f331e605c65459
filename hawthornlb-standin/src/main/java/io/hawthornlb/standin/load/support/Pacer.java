package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.InvalidScenarioException;
import io.hawthornlb.standin.load.Scenario;
import io.hawthornlb.standin.load.support.RequestFlow.Ended;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.report.support.RunRecorder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Sends each request at the time that was fixed for it, whatever becomes of the others. */
final class Pacer {

  private final RunClock clock;
  private final RunRecorder recorder;
  private final List<Arrival> arrivals;
  private final AtomicLong underWay = new AtomicLong();

  /** A request with the time at which it is meant to start. */
  private record Arrival(RequestFlow flow, int number, long atNanos) {}

  /**
   * Fixes all arrivals.
   *
   * @throws InvalidScenarioException if there are more than the scenario allows
   */
  Pacer(List<RequestFlow> flows, Scenario scenario, RunClock clock, RunRecorder recorder) {
    this.clock = clock;
    this.recorder = recorder;
    this.arrivals = arrivals(flows, scenario);
    if (arrivals.size() > scenario.maxRequests()) {
      throw new InvalidScenarioException(
          arrivals.size() + " requests exceed maxRequests " + scenario.maxRequests());
    }
  }

  /** Sends all requests and returns after the last one was sent. */
  void run() {
    for (Arrival arrival : arrivals) {
      clock.sleepUntil(arrival.atNanos());
      send(arrival);
    }
  }

  /** Returns how many requests have no end yet. */
  long underWay() {
    return underWay.get();
  }

  private void send(Arrival arrival) {
    underWay.incrementAndGet();
    recorder.sent(arrival.flow().label());
    arrival
        .flow()
        .send(arrival.number(), arrival.atNanos())
        .exceptionally(failure -> new Ended(Outcome.failed("tool: " + failure), Latency.whole(0)))
        .thenAccept(
            ended -> {
              recorder.ended(
                  arrival.flow().label(), ended.outcome(), ended.latency(), clock.nanos());
              underWay.decrementAndGet();
            });
  }

  private static List<Arrival> arrivals(List<RequestFlow> flows, Scenario scenario) {
    List<Arrival> arrivals = new ArrayList<>();
    for (RequestFlow flow : flows) {
      long[] times =
          ArrivalTimes.of(
              flow.phases(),
              flow.bursts(),
              scenario.durationMillis(),
              Seeds.random(scenario.seed(), flow.label().name(), -1));
      for (int number = 0; number < times.length; number++) {
        arrivals.add(new Arrival(flow, number, times[number]));
      }
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
    return arrivals;
  }
}
