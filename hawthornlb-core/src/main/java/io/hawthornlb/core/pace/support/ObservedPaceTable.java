package io.hawthornlb.core.pace.support;

import io.hawthornlb.core.pace.LearnedPace;
import io.hawthornlb.core.pace.LearnedPaces;
import io.hawthornlb.core.pace.PaceListener;
import io.hawthornlb.core.pace.PaceSummary;
import io.hawthornlb.core.pace.PaceTable;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Observes the pace of endpoints: over time by the ratio of actual to estimated time of their
 * completed uses, and at the moment by their reports.
 *
 * <p>The table serves services whose machines are shared with other workloads. It stays inactive,
 * with all factors 1, until an endpoint reports a pace. All figures are kept by endpoint, and
 * reports do not enter the long-term factor, so an endpoint that reports a wrong figure changes
 * neither the factors of others nor the capacity that is computed from long-term factors.
 */
public final class ObservedPaceTable implements PaceTable {

  private static final int MIN_PERCENT = 10;
  private static final int MAX_PERCENT = 10_000;
  private static final double MIN_FACTOR = 0.2;
  private static final double MAX_FACTOR = 10;

  /**
   * Largest ratio at which a single use counts, so that one of absurd length changes little. Wide
   * enough for plain requests of a thirtieth of the usual time: if they all counted alike, the
   * factors of fast and slow endpoints would come out closer together than they are.
   */
  private static final double MAX_USE_RATIO = 50;

  /** Factors from here to {@link #MAX_USUAL} count as usual. */
  private static final double MIN_USUAL = 0.7;

  private static final double MAX_USUAL = 1.4;

  /** Number of completed uses before a change of the factor is announced. */
  private static final int ANNOUNCED_AFTER = 20;

  /** Least time between two announcements about an endpoint, which bounds the number of lines. */
  private static final Duration ANNOUNCED_EVERY = Duration.ofSeconds(10);

  /** The median is computed at most this often, because each completed use changes a ratio. */
  private static final Duration MEDIAN_EVERY = Duration.ofMillis(100);

  /** Time after which an endpoint without any report or use is dropped. */
  private static final Duration RETENTION = Duration.ofMinutes(10);

  /** Several times the endpoints of the largest service; further ones count as unknown. */
  private static final int MAX_ENDPOINTS = 2_000;

  private final Map<String, EndpointPace> paces = new HashMap<>();
  private PaceListener listener = (endpoint, factor, usual) -> {};
  private boolean active;
  private double medianRatio = 1;
  private Instant medianAt = Instant.MIN;

  /** Sets the listener for changes of long-term factors. */
  public void onChange(PaceListener next) {
    listener = next;
  }

  @Override
  public void reported(String endpoint, int percent, Instant now) {
    if (percent < MIN_PERCENT || percent > MAX_PERCENT) {
      return;
    }
    active = true;
    EndpointPace pace = paceOf(endpoint, now);
    if (pace != null) {
      pace.reported(bounded(percent / 100.0), now);
    }
  }

  @Override
  public void completed(String endpoint, Duration estimated, Duration actual, Instant now) {
    if (!active || estimated.toNanos() <= 0 || actual.toNanos() <= 0) {
      return;
    }
    EndpointPace pace = paceOf(endpoint, now);
    if (pace == null) {
      return;
    }
    double ratio = (double) actual.toNanos() / estimated.toNanos();
    boolean first = pace.completions() == 0;
    boolean any = medianAt.isAfter(Instant.MIN);
    double counted = any ? medianRatio * boundedUse(ratio / medianRatio) : ratio;
    pace.completed(counted, any ? medianRatio : ratio, now);
    if (first || medianIsOld(now)) {
      updateMedian(now);
    }
    double factor = lastingFactor(endpoint);
    boolean usual = factor >= MIN_USUAL && factor <= MAX_USUAL;
    if (pace.completions() >= ANNOUNCED_AFTER && pace.changes(usual, ANNOUNCED_EVERY, now)) {
      listener.changed(endpoint, factor, usual);
    }
  }

  @Override
  public double lastingFactor(String endpoint) {
    EndpointPace pace = active ? paces.get(endpoint) : null;
    return pace == null ? 1 : lasting(pace);
  }

  @Override
  public double factor(String endpoint, Instant now) {
    EndpointPace pace = active ? paces.get(endpoint) : null;
    return pace == null ? 1 : bounded(lasting(pace) * pace.slowdown(now));
  }

  @Override
  public boolean active() {
    return active;
  }

  @Override
  public void forget(String endpoint) {
    paces.remove(endpoint);
  }

  /** Returns the long-term paces of all endpoints that have completed uses. */
  public LearnedPaces export() {
    Map<String, LearnedPace> learned = new HashMap<>();
    paces.forEach(
        (endpoint, pace) -> {
          if (pace.completions() > 0) {
            learned.put(endpoint, new LearnedPace(lasting(pace), pace.completions()));
          }
        });
    return new LearnedPaces(learned);
  }

  /**
   * Starts from the paces that another table has learned, except for endpoints of which this table
   * has seen at least as many uses. They take effect once the table is active.
   */
  public void restore(LearnedPaces learned, Instant now) {
    learned
        .byEndpoint()
        .forEach(
            (endpoint, from) -> {
              EndpointPace pace = accepted(from) ? paceOf(endpoint, now) : null;
              if (pace != null && pace.completions() < from.completions()) {
                pace.restore(medianRatio * bounded(from.factor()), from.completions(), now);
              }
            });
    updateMedian(now);
  }

  /** Returns the current factors of the endpoints; 1 without any. */
  public PaceSummary summary(Instant now) {
    double[] factors =
        paces.values().stream()
            .mapToDouble(pace -> bounded(lasting(pace) * pace.slowdown(now)))
            .sorted()
            .toArray();
    return factors.length == 0
        ? new PaceSummary(1, 1)
        : new PaceSummary(factors[factors.length / 2], factors[factors.length - 1]);
  }

  private static boolean accepted(LearnedPace from) {
    return Double.isFinite(from.factor()) && from.factor() > 0 && from.completions() > 0;
  }

  private @Nullable EndpointPace paceOf(String endpoint, Instant now) {
    EndpointPace known = paces.get(endpoint);
    if (known != null) {
      return known;
    }
    if (paces.size() >= MAX_ENDPOINTS) {
      return null;
    }
    EndpointPace created = new EndpointPace(now);
    paces.put(endpoint, created);
    return created;
  }

  private double lasting(EndpointPace pace) {
    return pace.completions() == 0 ? 1 : bounded(pace.ratio() / medianRatio);
  }

  /** Returns whether the median must be computed again; also after the clock was set back. */
  private boolean medianIsOld(Instant now) {
    return now.isBefore(medianAt) || !now.isBefore(medianAt.plus(MEDIAN_EVERY));
  }

  private void updateMedian(Instant now) {
    Instant oldest = now.minus(RETENTION);
    paces.values().removeIf(pace -> pace.isOlderThan(oldest));
    double[] ratios = new double[paces.size()];
    int known = 0;
    for (EndpointPace pace : paces.values()) {
      if (pace.completions() > 0) {
        ratios[known] = pace.ratio();
        known++;
      }
    }
    if (known > 0) {
      Arrays.sort(ratios, 0, known);
      medianRatio = ratios[known / 2];
      medianAt = now;
    }
  }

  private static double boundedUse(double ratio) {
    return Math.max(1 / MAX_USE_RATIO, Math.min(MAX_USE_RATIO, ratio));
  }

  private static double bounded(double factor) {
    return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
  }
}
