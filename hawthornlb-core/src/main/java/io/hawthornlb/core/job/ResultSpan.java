package io.hawthornlb.core.job;

import io.hawthornlb.core.util.Checks;
import java.util.ArrayList;
import java.util.List;

/**
 * Position in the log of those results of a job that one record contains.
 *
 * @param offset the offset of an {@link ItemOutcomes} record
 * @param group the index of the job's group in that record
 * @param voidPositions the indexes, in the group, of outcomes that do not count; ascending
 */
public record ResultSpan(long offset, int group, List<Integer> voidPositions) {

  /** Checks the offset and the group index, and copies the positions. */
  public ResultSpan {
    Checks.notNegative(offset, "offset");
    Checks.notNegative(group, "group");
    voidPositions = List.copyOf(voidPositions);
  }

  /** Returns the outcomes of the job that count, selected from the record at this offset. */
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
