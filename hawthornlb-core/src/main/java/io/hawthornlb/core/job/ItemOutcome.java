package io.hawthornlb.core.job;

import io.hawthornlb.core.util.Checks;

/**
 * Final outcome of one item.
 *
 * @param index the index of the item in its job
 * @param customId the id that the caller gave the item; empty if the writer of the outcome did not
 *     read the item
 * @param status whether the item completed or failed
 * @param cause why the item failed; empty if it completed
 * @param result the body of the endpoint's response; empty if the item failed
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

  /** Returns the outcome of a failed item, which is not retried. */
  public static ItemOutcome failed(int index, String customId, String cause) {
    return new ItemOutcome(index, customId, ItemStatus.FAILED, cause, "");
  }
}
