package io.hawthornlb.core.learned;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Snapshot of what a coordinator has learned about one service.
 *
 * @param version number that increases with each changed snapshot of a coordinator and of its
 *     successors; {@link #UNVERSIONED} until it is sent
 * @param tokenTimes time per token; null if not known
 * @param usualOutputTokens usual output length; {@link #UNKNOWN} if not known
 * @param paces long-term paces by endpoint id
 * @param loadCycle cycle of the demand; null if none is recognized
 */
public record LearnedState(
    long version,
    @Nullable TokenTimes tokenTimes,
    int usualOutputTokens,
    SortedMap<String, IncarnationPace> paces,
    @Nullable LoadCycle loadCycle) {

  /** Version of a snapshot that has not been sent. */
  public static final long UNVERSIONED = 0;

  /** Output length that is not known. */
  public static final int UNKNOWN = -1;

  /** Snapshot without any figure. */
  public static final LearnedState EMPTY = builder().build();

  /**
   * Maximum number of endpoints that a merged snapshot keeps. Endpoints that have left would
   * otherwise accumulate.
   */
  static final int MAX_ENDPOINTS = 512;

  /** Copies the paces. */
  public LearnedState {
    paces = Collections.unmodifiableSortedMap(new TreeMap<>(paces));
  }

  /** Returns a builder of a snapshot without any figure. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns whether no figure is known. */
  public boolean isEmpty() {
    return tokenTimes == null
        && usualOutputTokens == UNKNOWN
        && paces.isEmpty()
        && loadCycle == null;
  }

  /** Returns the same figures with another version. */
  public LearnedState withVersion(long newVersion) {
    return new LearnedState(newVersion, tokenTimes, usualOutputTokens, paces, loadCycle);
  }

  /** Returns the same figures with other paces. */
  public LearnedState withPaces(Map<String, IncarnationPace> newPaces) {
    return new LearnedState(
        version, tokenTimes, usualOutputTokens, new TreeMap<>(newPaces), loadCycle);
  }

  /** Returns the figures that change slowly: time per token and long-term paces. */
  LearnedState slowlyChanging() {
    return new LearnedState(version, tokenTimes, UNKNOWN, paces, null);
  }

  /**
   * Returns a later part with the paces of this snapshot added for endpoints that the part lacks,
   * because a snapshot is sent in several datagrams and some may be lost.
   */
  LearnedState completedBy(LearnedState part) {
    TreeMap<String, IncarnationPace> merged = new TreeMap<>(paces);
    part.paces.forEach(
        (id, pace) -> merged.merge(id, pace, (old, late) -> late.born() < old.born() ? old : late));
    boolean tooMany = merged.size() > MAX_ENDPOINTS;
    return part.withPaces(tooMany ? part.paces : merged);
  }

  /** Builds a snapshot. */
  public static final class Builder {

    private final TreeMap<String, IncarnationPace> paces = new TreeMap<>();
    private long version = UNVERSIONED;
    private @Nullable TokenTimes tokenTimes;
    private int usualOutputTokens = UNKNOWN;
    private @Nullable LoadCycle loadCycle;

    private Builder() {}

    /** Sets the version. */
    public Builder version(long value) {
      version = value;
      return this;
    }

    /** Sets the time per token; null if it is not known. */
    public Builder tokenTimes(@Nullable TokenTimes value) {
      tokenTimes = value;
      return this;
    }

    /** Sets the usual output length. */
    public Builder usualOutputTokens(int value) {
      usualOutputTokens = value;
      return this;
    }

    /** Adds the long-term pace of an endpoint. */
    public Builder pace(String endpoint, IncarnationPace pace) {
      paces.put(endpoint, pace);
      return this;
    }

    /** Sets the cycle of the demand; null if none is recognized. */
    public Builder loadCycle(@Nullable LoadCycle value) {
      loadCycle = value;
      return this;
    }

    /** Returns the snapshot. */
    public LearnedState build() {
      return new LearnedState(version, tokenTimes, usualOutputTokens, paces, loadCycle);
    }
  }
}
