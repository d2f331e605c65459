package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/**
 * Fencing token of a claim: the offset of the claim record that made the claim.
 *
 * <p>{@link #NONE} is lower than the epoch of every claim.
 */
public record Epoch(long value) implements Comparable<Epoch> {

  /** The epoch of a partition that no instance has claimed yet. */
  public static final Epoch NONE = new Epoch(-1);

  /** Checks that the value is an offset or {@code -1}. */
  public Epoch {
    Checks.isTrue(value >= -1, "epoch must be an offset or -1, was " + value);
  }

  @Override
  public int compareTo(Epoch other) {
    return Long.compare(value, other.value);
  }
}
