package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.stream.StreamOrigin;
import io.hawthornlb.gateway.wire.AnswerLimits;
import io.hawthornlb.gateway.wire.EventSplitter;
import io.hawthornlb.gateway.wire.StreamEvent;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Output of an item so far, over all its attempts. */
final class ItemOutput {

  /** Number of the first event of an attempt that requests all events. */
  private static final long FIRST_EVENT = 1;

  private final String itemId;
  private final long epoch;
  private final StringBuilder text = new StringBuilder();
  private @Nullable StreamOrigin origin;
  private long lastEventId;
  private ProgressLink recorded;
  private int recordedLength;

  /**
   * Creates the output of an item that continues from recorded progress.
   *
   * @param epoch epoch of the holder that records further progress
   */
  ItemOutput(String itemId, ItemProgress earlier, long epoch) {
    this.itemId = itemId;
    this.epoch = epoch;
    this.origin = earlier.origin();
    this.text.append(earlier.text());
    this.lastEventId = earlier.lastEventId();
    this.recorded = earlier.end();
    this.recordedLength = text.length();
  }

  /** Returns what wrote the events; null before the first one, or if that is unclear. */
  @Nullable StreamOrigin origin() {
    return origin;
  }

  /** Sets what writes the events; null if that is unclear, so that they are not recorded. */
  void writtenBy(@Nullable StreamOrigin writer) {
    origin = writer;
  }

  /**
   * Discards all events, because no endpoint can continue them. Records of the next attempt have
   * another origin and are joined with none of the earlier ones.
   */
  void restart() {
    origin = null;
    text.setLength(0);
    lastEventId = ProgressLink.START.eventId();
    recorded = ProgressLink.START;
    recordedLength = 0;
  }

  /** Returns the number of the last event; -1 before the first event. */
  long lastEventId() {
    return lastEventId;
  }

  /** Returns whether the events are more than the output of an item can be. */
  boolean tooLong() {
    return text.length() > AnswerLimits.ITEM_OUTPUT_CHARS;
  }

  /** Returns the data of all events, joined by line feeds. */
  String text() {
    return text.toString();
  }

  /**
   * Returns whether an event breaks the sequence of the events that the attempt has to deliver.
   *
   * <p>An endpoint may lose an event on the way, or may start from the beginning although it was
   * asked to continue. The output would then have a gap although the stream ends normally, or would
   * mix the texts of two attempts. Therefore such an attempt counts as failed, and the next attempt
   * delivers the missing events.
   *
   * @param first whether this is the first numbered event of the attempt
   */
  boolean breaksSequence(StreamEvent event, boolean first) {
    boolean missing = event.id() > Math.max(FIRST_EVENT, lastEventId + 1);
    boolean restarted = first && event.id() >= 0 && event.id() <= lastEventId;
    return missing || restarted;
  }

  /** Appends an event; returns whether the event is the next one or has no number. */
  boolean append(StreamEvent event) {
    if (event.id() >= 0 && event.id() != lastEventId + 1 && lastEventId >= 0) {
      // The event was appended before, or it follows a gap, which the next attempt fills.
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

  /**
   * Returns the progress since the last call that returned some, if it has at least {@code
   * minEvents} events.
   */
  Optional<JobRecords.Progress> newProgress(long minEvents) {
    StreamOrigin writer = origin;
    if (lastEventId - recorded.eventId() < minEvents || writer == null) {
      return Optional.empty();
    }
    ProgressLink upTo = new ProgressLink(lastEventId, epoch);
    String added = text.substring(recordedLength);
    JobRecords.Progress progress = new JobRecords.Progress(itemId, recorded, upTo, added, writer);
    recorded = upTo;
    recordedLength = text.length();
    return Optional.of(progress);
  }
}
