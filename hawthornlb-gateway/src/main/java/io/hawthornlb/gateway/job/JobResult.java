package io.hawthornlb.gateway.job;

/**
 * Result of an item.
 *
 * @param itemId id of the item
 * @param completed whether the text is the item's whole output; false if the item was given up
 * @param text data of all events, joined by line feeds
 */
public record JobResult(String itemId, boolean completed, String text) {

  // The generated methods of a record are linked at run time, which takes some milliseconds.
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
