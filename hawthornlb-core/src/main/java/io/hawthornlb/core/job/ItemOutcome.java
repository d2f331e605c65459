package io.hawthornlb.core.job;

import io.hawthornlb.core.util.Checks;

/**
 * The end of one item.
 *
 * @param index the item
 * @param customId the caller's name of the item, or empty where the writer did not read the item
 * @param status how it ended
 * @param cause why it failed; empty if it completed
 * @param result the body of the answer; empty if it failed
 */
public record ItemOutcome(
    int index, String customId, ItemStatus status, String cause, String result) {

  /** Checks the index. */
  public ItemOutcome {
    Checks.notNegative(index, "item index");
  }

  /** Returns the outcome of a completed item. */
  public static ItemOutcome completed(int index, String customId, String result) {
    return new ItemOutcome(index, customId, ItemStatus.COMPLETED, "", result);
  }

  /** Returns the outcome of an item that can't be done. */
  public static ItemOutcome failed(int index, String customId, String cause) {
    return new ItemOutcome(index, customId, ItemStatus.FAILED, cause, "");
  }
}
