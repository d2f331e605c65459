package io.hawthornlb.core.routing;

/**
 * One cache event of an engine.
 *
 * @param sequence its number; gaps mean lost events
 * @param prefix the prefix hash
 * @param kind stored or evicted
 */
public record PrefixEvent(long sequence, String prefix, Kind kind) {

  /** What happened to the prefix. */
  public enum Kind {
    /** The engine now holds it. */
    STORED,
    /** The engine no longer holds it. */
    EVICTED
  }
}
