package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.util.Checks;
import java.util.Comparator;

/**
 * Identifies one attempt to run a request; a later attempt compares greater.
 *
 * @param epoch the epoch of the holder that made the attempt
 * @param sequence the number of the attempt among those that this holder made in this epoch
 */
public record AttemptId(Epoch epoch, long sequence) implements Comparable<AttemptId> {

  private static final Comparator<AttemptId> ORDER =
      Comparator.comparing(AttemptId::epoch).thenComparingLong(AttemptId::sequence);

  /** Checks that the sequence number is not negative. */
  public AttemptId {
    Checks.notNegative(sequence, "sequence");
  }

  @Override
  public int compareTo(AttemptId other) {
    return ORDER.compare(this, other);
  }
}
