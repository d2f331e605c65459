package io.hawthornlb.gateway.job;

/**
 * What is kept of an item that is not done.
 *
 * @param lastEventId last event whose data the text holds; -1 for none
 * @param text data of all events so far, joined by line feeds
 */
record ItemProgress(long lastEventId, String text) {

  /** Progress of an item that has not begun. */
  static final ItemProgress NONE = new ItemProgress(-1, "");
}
