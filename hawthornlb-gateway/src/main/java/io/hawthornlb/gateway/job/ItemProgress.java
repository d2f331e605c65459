package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * Recorded progress of an item that has no result.
 *
 * @param end point in the item's output up to which the text goes
 * @param text data of all events so far, joined by line feeds
 * @param origin what wrote the text; null if there is none
 */
record ItemProgress(ProgressLink end, String text, @Nullable StreamOrigin origin) {

  /** Progress of an item without a recorded event. */
  static final ItemProgress NONE = new ItemProgress(ProgressLink.START, "", null);

  /** Returns the number of the last event whose data the text contains; -1 for none. */
  long lastEventId() {
    return end.eventId();
  }
}
