package io.hawthornlb.core.demand.support;

import java.util.ArrayList;
import java.util.List;

/**
 * The phases of a series of load, separated where the load changes between two levels.
 *
 * <p>The first phase began before the series, and the last one is not over.
 */
final class LoadPhases {

  /** Share of the way between the levels beyond which a phase ends; the dead band absorbs noise. */
  private static final double CROSSING = 0.65;

  /** Length in bins below which a phase counts as a fluctuation. */
  private static final int MIN_BINS = 3;

  /** Number of phases of each kind that determine the usual length. */
  private static final int CYCLES = 3;

  /** Smallest number of whole phases by which a cycle is recognized. */
  private static final int MIN_PHASES = 5;

  /** Number of these phases that may deviate, such as one that a surge of one caller prolongs. */
  private static final int MAX_DEVIATING = 1;

  /** Deviation from the usual length that a phase of a cycle may have, as a share and in bins. */
  private static final double TOLERANCE = 0.25;

  private static final int TOLERANCE_BINS = 3;

  private final double[] series;
  private final boolean firstIsPeak;
  private final List<Integer> changes = new ArrayList<>();

  /** Finds the phases of a series, given its smoothed values. */
  LoadPhases(double[] series, double[] smoothed, LoadLevels levels) {
    this.series = series;
    double up = levels.share(CROSSING);
    double down = levels.share(1 - CROSSING);
    this.firstIsPeak = smoothed.length > 0 && smoothed[0] > levels.share(0.5);
    boolean peak = firstIsPeak;
    for (int i = 1; i < smoothed.length; i++) {
      if (peak ? smoothed[i] < down : smoothed[i] > up) {
        peak = !peak;
        int previous = changes.isEmpty() ? -MIN_BINS : changes.get(changes.size() - 1);
        if (i - previous < MIN_BINS) {
          changes.remove(changes.size() - 1);
        } else {
          changes.add(i);
        }
      }
    }
  }

  /** Returns whether a change of level has been seen, so that the start of this phase is known. */
  boolean startKnown() {
    return !changes.isEmpty();
  }

  /** Returns whether the last phase is a peak. */
  boolean inPeak() {
    return isPeak(changes.size());
  }

  /** Returns the index of the first value of the last phase. */
  int start() {
    return changes.get(changes.size() - 1);
  }

  /** Returns whether the phases repeat with similar lengths. */
  boolean cyclic() {
    List<Integer> peaks = recent(true);
    List<Integer> troughs = recent(false);
    int whole = peaks.size() + troughs.size();
    return whole >= MIN_PHASES && regular(peaks) + regular(troughs) >= whole - MAX_DEVIATING;
  }

  /** Returns the usual length of the last three whole peaks or troughs, in bins. */
  int usualLength(boolean peak) {
    return median(recent(peak).stream().map(this::length).toList());
  }

  /** Returns the mean of the series in the last three whole peaks or troughs. */
  double level(boolean peak) {
    double total = 0;
    int count = 0;
    for (int phase : recent(peak)) {
      for (int i = changes.get(phase - 1) + 1; i < changes.get(phase) - 1; i++) {
        total += series[i];
        count++;
      }
    }
    return count == 0 ? 0 : total / count;
  }

  /** Returns the last three whole phases of a kind, the latest first. */
  private List<Integer> recent(boolean peak) {
    List<Integer> found = new ArrayList<>();
    for (int phase = changes.size() - 1; phase >= 1 && found.size() < CYCLES; phase--) {
      if (isPeak(phase) == peak) {
        found.add(phase);
      }
    }
    return found;
  }

  /** Returns how many of the phases have about the usual length. */
  private long regular(List<Integer> phases) {
    List<Integer> lengths = phases.stream().map(this::length).toList();
    int usual = median(lengths);
    double tolerance = Math.max(TOLERANCE_BINS, TOLERANCE * usual);
    return lengths.stream().filter(each -> Math.abs(each - usual) <= tolerance).count();
  }

  private int length(int phase) {
    return changes.get(phase) - changes.get(phase - 1);
  }

  private boolean isPeak(int phase) {
    return (phase % 2 == 0) == firstIsPeak;
  }

  private static int median(List<Integer> values) {
    return values.isEmpty() ? 0 : values.stream().sorted().toList().get(values.size() / 2);
  }
}
