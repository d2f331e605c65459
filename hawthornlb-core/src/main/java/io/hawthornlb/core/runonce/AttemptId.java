package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.util.Checks;
import java.util.Comparator;

/**
 * Names one attempt to run a request; a later attempt is greater.
 *
 * @param epoch the epoch of the holder that made it
 * @param sequence its number among the attempts of that holder
 */
public record AttemptId(Epoch epoch, long sequence) implements Comparable<AttemptId> {

  private static final Comparator<AttemptId> ORDER =
      Comparator.comparing(AttemptId::epoch).thenComparingLong(AttemptId::sequence);

  /** Checks the number. */
  public AttemptId {
    Checks.notNegative(sequence, "sequence");
  }

  @Override
  public int compareTo(AttemptId other) {
    return ORDER.compare(this, other);
  }
}
