package io.hawthornlb.core.job;

import io.hawthornlb.core.util.Checks;
import java.util.ArrayList;
import java.util.List;

/**
 * Where some results of a job stand in the log.
 *
 * @param offset the offset of an {@link ItemOutcomes} record
 * @param group the place of the job's group in that record
 * @param voidPositions places in the group whose outcome does not count, ascending
 */
public record ResultSpan(long offset, int group, List<Integer> voidPositions) {

  /** Checks the place and copies the positions. */
  public ResultSpan {
    Checks.notNegative(offset, "offset");
    Checks.notNegative(group, "group");
    voidPositions = List.copyOf(voidPositions);
  }

  /** Returns the outcomes that count from the record at this offset. */
  public List<ItemOutcome> select(ItemOutcomes entry) {
    List<ItemOutcome> outcomes = entry.groups().get(group).outcomes();
    if (voidPositions.isEmpty()) {
      return outcomes;
    }
    List<ItemOutcome> valid = new ArrayList<>(outcomes.size());
    for (int i = 0; i < outcomes.size(); i++) {
      if (!voidPositions.contains(i)) {
        valid.add(outcomes.get(i));
      }
    }
    return valid;
  }
}
