package io.hawthornlb.core.demand.support;

import io.hawthornlb.core.demand.DemandForecast;
import io.hawthornlb.core.demand.DemandPhase;
import io.hawthornlb.core.demand.LearnedDemand;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Expects that a load cycle continues, if the arrivals of the last 30 s show one, and that requests
 * keep arriving as they do now otherwise.
 *
 * <p>A cycle is two levels of load whose phases repeat with similar lengths. Its period need not be
 * known. The phase that is present is expected to end when its usual length has passed; if it lasts
 * much longer, the cycle has ended and nothing more is derived from it. A request occupies a slot
 * for its slot time, so the slots needed at a moment are the mean of the arriving work over the
 * preceding slot time.
 */
public final class CyclicDemandForecast implements DemandForecast {

  private static final Duration RECOMPUTED_EVERY = Duration.ofMillis(50);

  /** Number of bins that the forecast covers, about twice the run time of a batch item. */
  private static final int HORIZON = 100;

  /** Time until room that is stated if none is expected, as long as nothing is predicted. */
  private static final Duration UNKNOWN_TIME = Duration.ofSeconds(1);

  /** Share of its usual length, and number of bins, by which a phase may exceed that length. */
  private static final double OVERDUE = 0.3;

  private static final int OVERDUE_BINS = 3;

  private final DemandBins bins = new DemandBins();
  private final double[] needed = new double[HORIZON + 1];
  private final double[] highest = new double[HORIZON + 1];
  private @Nullable Instant computed;
  private @Nullable LearnedDemand restored;
  private @Nullable LearnedDemand learned;
  private @Nullable DemandPhase phase;
  private int slotTimeBins = 1;

  @Override
  public void arrived(Duration work, Instant now) {
    bins.add(work, now);
  }

  @Override
  public double slotsNeeded(Instant now, Duration ahead) {
    refresh(now);
    long within = (ahead.toMillis() + DemandBins.BIN_MILLIS - 1) / DemandBins.BIN_MILLIS;
    return highest[(int) Math.max(0, Math.min(HORIZON, within))];
  }

  /**
   * {@inheritDoc}
   *
   * <p>Room that is filled again within a slot time, such as at the start of a peak, does not
   * count.
   */
  @Override
  public Duration untilRoom(double slots, Instant now) {
    refresh(now);
    int from = 0;
    for (int i = 0; i <= HORIZON; i++) {
      if (needed[i] >= slots) {
        from = i + 1;
      } else if (i - from >= slotTimeBins) {
        break;
      }
    }
    if (from <= HORIZON) {
      return Duration.ofMillis((long) from * DemandBins.BIN_MILLIS);
    }
    return phase == null ? UNKNOWN_TIME : Duration.ofMillis((long) HORIZON * DemandBins.BIN_MILLIS);
  }

  @Override
  public Optional<DemandPhase> phase(Instant now) {
    refresh(now);
    return Optional.ofNullable(phase);
  }

  @Override
  public Optional<LearnedDemand> export(Instant now) {
    refresh(now);
    return Optional.ofNullable(learned);
  }

  /**
   * {@inheritDoc}
   *
   * <p>The restored cycle is used from the first change of level on, because the start of the
   * present phase is not known before, and until a phase contradicts it.
   */
  @Override
  public void restore(LearnedDemand cycle) {
    if (cycle.plausible()) {
      restored = cycle;
      computed = null;
    }
  }

  private void refresh(Instant now) {
    Instant before = computed;
    if (before != null && !now.isBefore(before) && now.isBefore(before.plus(RECOMPUTED_EVERY))) {
      return;
    }
    computed = now;
    bins.advance(DemandBins.bin(now));
    double[] series = bins.slots();
    slotTimeBins = bins.slotTimeBins();
    recognize(series);
    predict(series);
  }

  private void recognize(double[] series) {
    double[] smoothed = smoothed(series);
    LoadLevels levels = LoadLevels.of(smoothed);
    LoadPhases phases = levels == null ? null : new LoadPhases(series, smoothed, levels);
    LearnedDemand cycle = null;
    if (phases != null && phases.cyclic()) {
      restored = null;
      cycle =
          new LearnedDemand(
              phases.level(false),
              phases.level(true),
              time(phases.usualLength(false)),
              time(phases.usualLength(true)));
    } else if (restored != null) {
      cycle = restored;
      LoadLevels known = new LoadLevels(cycle.troughSlots(), cycle.peakSlots());
      phases = new LoadPhases(series, smoothed, known);
    }
    phase = cycle == null || phases == null ? null : present(cycle, phases, series.length);
    // A restored cycle stays known until the first change of level shows where in it the load is.
    learned = phase == null && restored == null ? null : cycle;
  }

  /**
   * Returns the present phase of a cycle; null if its start is not known or the cycle has ended.
   */
  private @Nullable DemandPhase present(LearnedDemand cycle, LoadPhases phases, int length) {
    boolean peak = phases.inPeak();
    Duration usual = peak ? cycle.peakLength() : cycle.troughLength();
    int passed = phases.startKnown() ? length - phases.start() : length;
    if (passed > (1 + OVERDUE) * bins(usual) + OVERDUE_BINS) {
      restored = null;
      return null;
    }
    if (!phases.startKnown()) {
      return null;
    }
    long start = bins.firstWhole() + phases.start();
    return new DemandPhase(
        peak,
        peak ? cycle.peakSlots() : cycle.troughSlots(),
        Instant.ofEpochMilli(start * DemandBins.BIN_MILLIS),
        usual);
  }

  /** Fills in the slots that are needed from now on, bin by bin. */
  private void predict(double[] series) {
    int window = Math.min(slotTimeBins, Math.max(1, series.length));
    double[] rates =
        Arrays.copyOfRange(series, series.length - Math.min(window, series.length), series.length);
    double sum = Arrays.stream(rates).sum();
    double present = sum / window;
    if (phase == null || learned == null) {
      Arrays.fill(needed, present);
      Arrays.fill(highest, present);
      return;
    }
    double[] arriving = new double[window + HORIZON];
    System.arraycopy(rates, 0, arriving, 0, window);
    boolean peak = phase.peak();
    long passed = bins.firstWhole() + series.length - DemandBins.bin(phase.since());
    long left = Math.max(0, bins(phase.usualLength()) - passed);
    for (int i = window; i < arriving.length; i++) {
      if (left == 0) {
        peak = !peak;
        left = Math.max(1, bins(peak ? learned.peakLength() : learned.troughLength()));
      }
      arriving[i] = peak ? learned.peakSlots() : learned.troughSlots();
      left--;
    }
    needed[0] = present;
    highest[0] = present;
    for (int i = 1; i <= HORIZON; i++) {
      sum += arriving[window + i - 1] - arriving[i - 1];
      needed[i] = sum / window;
      highest[i] = Math.max(highest[i - 1], needed[i]);
    }
  }

  /** Returns the means of each value and its neighbours. */
  private static double[] smoothed(double[] series) {
    double[] means = new double[series.length];
    for (int i = 0; i < series.length; i++) {
      int from = Math.max(0, i - 1);
      int to = Math.min(series.length - 1, i + 1);
      double total = 0;
      for (int each = from; each <= to; each++) {
        total += series[each];
      }
      means[i] = total / (to - from + 1);
    }
    return means;
  }

  private static Duration time(int count) {
    return Duration.ofMillis((long) count * DemandBins.BIN_MILLIS);
  }

  private static long bins(Duration time) {
    return time.toMillis() / DemandBins.BIN_MILLIS;
  }
}
