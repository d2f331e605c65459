package io.hawthornlb.gateway.job;

/**
 * Outcome of an item, at its position among the results of its job.
 *
 * @param itemId id of the item
 * @param completed whether the text is the item's whole output; false if it was given up
 * @param text data of all events, joined by line feeds
 */
public record JobResult(String itemId, boolean completed, String text) {

  // Written out: the generated ones are linked at run time, in some milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof JobResult result
        && completed == result.completed
        && itemId.equals(result.itemId)
        && text.equals(result.text);
  }

  @Override
  public int hashCode() {
    return 31 * itemId.hashCode() + Boolean.hashCode(completed);
  }
}
