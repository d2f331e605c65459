package io.hawthornlb.gateway.job;

/**
 * Recorded progress of an item that has no result.
 *
 * @param end point in the item's output up to which the text goes
 * @param text data of all events so far, joined by line feeds
 */
record ItemProgress(ProgressLink end, String text) {

  /** Progress of an item without a recorded event. */
  static final ItemProgress NONE = new ItemProgress(ProgressLink.START, "");

  /** Returns the number of the last event whose data the text contains; -1 for none. */
  long lastEventId() {
    return end.eventId();
  }
}
