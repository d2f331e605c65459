package io.hawthornlb.core.learned;

import java.time.Duration;
import java.time.Instant;

/** Estimates of one service, from which snapshots are taken and into which they are restored. */
public interface LearnedStateSource {

  /** Returns whether decisions use the estimates; if not, no snapshot is sent or stored. */
  boolean active();

  /** Returns an unversioned snapshot of the estimates. */
  LearnedState export(Instant now);

  /**
   * Replaces the estimates by those of a snapshot. Figures that the snapshot lacks stay as they
   * are.
   *
   * @param age time since the figures were learned
   */
  void restore(LearnedState state, Duration age, Instant now);
}
