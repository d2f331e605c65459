package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.InvalidScenarioException;
import io.hawthornlb.standin.load.Scenario;
import io.hawthornlb.standin.load.support.RequestFlow.EndedRequest;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.report.support.RunRecorder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Sends each request at its scheduled time, whether or not earlier requests have been answered. */
final class Pacer {

  private final RunClock clock;
  private final RunRecorder recorder;
  private final List<Arrival> arrivals;
  private final AtomicLong inFlight = new AtomicLong();

  /** A request with its intended start time. */
  private record Arrival(RequestFlow flow, int number, long atNanos) {}

  /**
   * Computes the arrival times of all requests of a scenario.
   *
   * @throws InvalidScenarioException if there are more requests than the scenario allows
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

  /** Sends all requests; returns once the last request has been sent. */
  void run() {
    for (Arrival arrival : arrivals) {
      clock.sleepUntil(arrival.atNanos());
      send(arrival);
    }
  }

  /** Returns the number of requests that have been sent and have not ended. */
  long inFlight() {
    return inFlight.get();
  }

  private void send(Arrival arrival) {
    inFlight.incrementAndGet();
    recorder.sent(arrival.flow().label());
    arrival
        .flow()
        .send(arrival.number(), arrival.atNanos())
        .exceptionally(
            failure -> new EndedRequest(Outcome.failed("tool: " + failure), Latency.whole(0)))
        .thenAccept(
            ended -> {
              recorder.ended(
                  arrival.flow().label(), ended.outcome(), ended.latency(), clock.nanos());
              inFlight.decrementAndGet();
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
