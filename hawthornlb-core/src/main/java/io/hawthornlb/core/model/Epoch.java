package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/**
 * The fencing number of a claim: the offset of the claim record that made it.
 *
 * <p>{@link #NONE} stands before the first claim.
 */
public record Epoch(long value) implements Comparable<Epoch> {

  /** The epoch of a partition that nobody has claimed yet. */
  public static final Epoch NONE = new Epoch(-1);

  /** Checks that the number is an offset or {@code -1}. */
  public Epoch {
    Checks.isTrue(value >= -1, "epoch must be an offset or -1, was " + value);
  }

  @Override
  public int compareTo(Epoch other) {
    return Long.compare(value, other.value);
  }
}
