package io.hawthornlb.standin.report.support;

import io.hawthornlb.standin.report.FlowLabel;
import io.hawthornlb.standin.report.FlowResult;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.NamedPercentiles;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.report.Series;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import org.HdrHistogram.SynchronizedHistogram;

/** Records the measurements of a run. Safe for use by multiple threads. */
public final class RunRecorder {

  private final Map<String, FlowRecorder> flows = new ConcurrentSkipListMap<>();
  private final Map<String, Map<Long, LongAdder>> seconds = new ConcurrentSkipListMap<>();

  /** Counts the arrival of a request. */
  public void sent(FlowLabel label) {
    flow(label).sent();
  }

  /** Counts a retry of a request by the reason of the preceding attempt's outcome. */
  public void resent(FlowLabel label, Outcome cause) {
    flow(label).resent(cause);
  }

  /**
   * Records the outcome of a request.
   *
   * @param atNanos the time at which the request ended, from the start of the run
   */
  public void ended(FlowLabel label, Outcome outcome, Latency latency, long atNanos) {
    flow(label).ended(outcome, latency);
    if (outcome.kind() == Outcome.Kind.ANSWERED) {
      progress(label.name(), 1, atNanos);
    }
  }

  /** Adds a number of requests or items to the second of a series that contains the given time. */
  public void progress(String series, long count, long atNanos) {
    seconds
        .computeIfAbsent(series, unused -> new ConcurrentHashMap<>())
        .computeIfAbsent(TimeUnit.NANOSECONDS.toSeconds(atNanos), unused -> new LongAdder())
        .add(count);
  }

  /** Returns the results of each flow so far. */
  public List<FlowResult> flows() {
    return flows.values().stream().map(FlowRecorder::result).toList();
  }

  /** Returns the total response times by request class. */
  public List<NamedPercentiles> classes() {
    return grouped(FlowLabel::requestClass);
  }

  /** Returns the total response times by workspace. */
  public List<NamedPercentiles> workspaces() {
    return grouped(FlowLabel::workspace);
  }

  /** Returns the answered requests and ended items of each series in each second. */
  public List<Series> timeline() {
    long last =
        seconds.values().stream()
            .flatMap(s -> s.keySet().stream())
            .mapToLong(s -> s)
            .max()
            .orElse(-1);
    List<Series> timeline = new ArrayList<>();
    seconds.forEach((name, counts) -> timeline.add(series(name, counts, last)));
    return timeline;
  }

  private static Series series(String name, Map<Long, LongAdder> counts, long last) {
    List<Long> perSecond = new ArrayList<>();
    for (long second = 0; second <= last; second++) {
      LongAdder count = counts.get(second);
      perSecond.add(count == null ? 0 : count.sum());
    }
    return new Series(name, perSecond);
  }

  private List<NamedPercentiles> grouped(Function<FlowLabel, String> group) {
    Map<String, SynchronizedHistogram> merged = new TreeMap<>();
    for (FlowRecorder flow : flows.values()) {
      merged
          .computeIfAbsent(group.apply(flow.label()), unused -> Histograms.create())
          .add(flow.total());
    }
    List<NamedPercentiles> groups = new ArrayList<>();
    merged.forEach(
        (name, histogram) ->
            groups.add(new NamedPercentiles(name, Histograms.percentiles(histogram))));
    return groups;
  }

  private FlowRecorder flow(FlowLabel label) {
    return flows.computeIfAbsent(label.name(), unused -> new FlowRecorder(label));
  }
}
