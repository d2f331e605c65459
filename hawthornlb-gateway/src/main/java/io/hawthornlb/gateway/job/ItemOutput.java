package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.wire.EventSplitter;
import io.hawthornlb.gateway.wire.StreamEvent;
import java.util.Optional;

/** What an item has produced so far, event by event, over all its runs. */
final class ItemOutput {

  /** Number of the first event of a run that is asked for all of them. */
  private static final long FIRST_EVENT = 1;

  private final String itemId;
  private final long epoch;
  private final StringBuilder text = new StringBuilder();
  private long lastEventId;
  private ProgressLink recorded;
  private int recordedLength;

  /**
   * Creates the output of an item that goes on behind what is kept.
   *
   * @param epoch epoch of the holder that records it
   */
  ItemOutput(String itemId, ItemProgress kept, long epoch) {
    this.itemId = itemId;
    this.epoch = epoch;
    this.text.append(kept.text());
    this.lastEventId = kept.lastEventId();
    this.recorded = kept.end();
    this.recordedLength = text.length();
  }

  /** Returns the number of the last event; -1 before the first. */
  long lastEventId() {
    return lastEventId;
  }

  /** Returns the data of all events, joined by line feeds. */
  String text() {
    return text.toString();
  }

  /**
   * Returns whether a run with a new event is not the one that was asked for.
   *
   * <p>Failure: an endpoint spoils an event on the way, or begins anew where it was asked to go on.
   * It shows as a gap in the numbers of a stream that ends well, or as a text of two runs. Guard:
   * such a run counts as broken, and the next one brings what is missing.
   *
   * @param first whether no numbered event of the run came before
   */
  boolean strays(StreamEvent event, boolean first) {
    boolean missing = event.id() > Math.max(FIRST_EVENT, lastEventId + 1);
    boolean anew = first && event.id() >= 0 && event.id() <= lastEventId;
    return missing || anew;
  }

  /** Takes an event; returns whether it is the next one, or one without a number. */
  boolean take(StreamEvent event) {
    if (event.id() >= 0 && event.id() != lastEventId + 1 && lastEventId >= 0) {
      // An event that was taken before, or one after a gap, which the next run brings.
      return false;
    }
    if (event.id() >= 0) {
      if (lastEventId >= 0) {
        text.append('\n');
      }
      text.append(EventSplitter.data(event));
      lastEventId = event.id();
    }
    return true;
  }

  /** Returns what came since the last call that returned something, if it is at least so much. */
  Optional<JobRecords.Gained> gained(long leastEvents) {
    if (lastEventId - recorded.eventId() < leastEvents) {
      return Optional.empty();
    }
    ProgressLink upTo = new ProgressLink(lastEventId, epoch);
    String added = text.substring(recordedLength);
    JobRecords.Gained gained = new JobRecords.Gained(itemId, recorded, upTo, added);
    recorded = upTo;
    recordedLength = text.length();
    return Optional.of(gained);
  }
}
