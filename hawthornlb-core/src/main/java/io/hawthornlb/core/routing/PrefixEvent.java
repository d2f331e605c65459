package io.hawthornlb.core.routing;

/**
 * An event of an engine's prefix cache.
 *
 * @param sequence sequence number; a gap means that events were lost
 * @param prefix hash of the prompt prefix
 * @param kind whether the prefix was stored or evicted
 */
public record PrefixEvent(long sequence, String prefix, Kind kind) {

  /** Kind of a cache event. */
  public enum Kind {
    /** The engine now holds the prefix. */
    STORED,
    /** The engine no longer holds the prefix. */
    EVICTED
  }
}
