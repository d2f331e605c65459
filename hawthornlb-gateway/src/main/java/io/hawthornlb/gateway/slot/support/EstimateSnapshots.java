package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.demand.LearnedDemand;
import io.hawthornlb.core.learned.IncarnationPace;
import io.hawthornlb.core.learned.LearnedState;
import io.hawthornlb.core.learned.LoadCycle;
import io.hawthornlb.core.learned.TokenTimes;
import io.hawthornlb.core.pace.LearnedPace;
import io.hawthornlb.core.pace.LearnedPaces;
import io.hawthornlb.core.work.LearnedWork;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Translates between the estimates of a service and the snapshot that its successor restores. */
final class EstimateSnapshots {

  /** Uses that a restored figure counts as; enough to start from and few enough to correct. */
  private static final int RESTORED_USES = 20;

  private EstimateSnapshots() {}

  /**
   * Returns a snapshot without load cycle.
   *
   * @param directory tells which incarnation of an endpoint a pace belongs to
   */
  static LearnedState.Builder of(
      LearnedWork work, LearnedPaces paces, EndpointDirectory directory) {
    LearnedState.Builder state = LearnedState.builder();
    if (work.outputTokenMillis() > 0) {
      state.tokenTimes(
          new TokenTimes(nanos(work.promptTokenMillis()), nanos(work.outputTokenMillis())));
      state.usualOutputTokens((int) (work.usualOutputMillis() / work.outputTokenMillis()));
    }
    paces
        .byEndpoint()
        .forEach(
            (endpoint, pace) ->
                directory
                    .find(endpoint)
                    .ifPresent(
                        entry ->
                            state.pace(
                                endpoint, new IncarnationPace(entry.born(), pace.factor()))));
    return state;
  }

  /** Returns the figures of requests in a snapshot; empty if it has none. */
  static Optional<LearnedWork> work(LearnedState state, LearnedWork current) {
    TokenTimes times = state.tokenTimes();
    if (times == null) {
      return Optional.empty();
    }
    double outputTokenMillis = millis(times.perOutputToken());
    double usual = Math.max(0, state.usualOutputTokens()) * outputTokenMillis;
    return Optional.of(
        new LearnedWork(
            RESTORED_USES,
            millis(times.perPromptToken()),
            outputTokenMillis,
            current.usualPromptTokens(),
            usual > 0 ? usual : current.usualOutputMillis(),
            current.hintError(),
            current.usualError(),
            current.hintedCorrection(),
            current.usualCorrection()));
  }

  /** Returns the paces in a snapshot. */
  static LearnedPaces paces(LearnedState state) {
    Map<String, LearnedPace> paces = new HashMap<>();
    state
        .paces()
        .forEach(
            (endpoint, pace) -> paces.put(endpoint, new LearnedPace(pace.factor(), RESTORED_USES)));
    return new LearnedPaces(paces);
  }

  /** Returns a load cycle for a snapshot. */
  static LoadCycle cycle(LearnedDemand demand) {
    return new LoadCycle(
        demand.troughSlots(), demand.peakSlots(), demand.troughLength(), demand.peakLength());
  }

  /** Returns the load cycle of a snapshot. */
  static LearnedDemand demand(LoadCycle cycle) {
    return new LearnedDemand(
        cycle.troughSlots(), cycle.peakSlots(), cycle.troughLength(), cycle.peakLength());
  }

  private static Duration nanos(double millis) {
    return Duration.ofNanos(Math.round(millis * 1e6));
  }

  private static double millis(Duration time) {
    return time.toNanos() / 1e6;
  }
}
