package io.hawthornlb.gateway.job;

/**
 * What is kept of an item that is not done.
 *
 * @param end place up to which the text goes
 * @param text data of all events so far, joined by line feeds
 */
record ItemProgress(ProgressLink end, String text) {

  /** Progress of an item that has not begun. */
  static final ItemProgress NONE = new ItemProgress(ProgressLink.START, "");

  /** Returns the last event whose data the text holds; -1 for none. */
  long lastEventId() {
    return end.eventId();
  }
}
