package io.hawthornlb.core.log;

/**
 * Deterministic state of one stream.
 *
 * <p>Every instance that applies the same records in the order of their offsets holds the same
 * state. A record that does not fit the state at its offset is void and changes nothing.
 */
public interface StreamFold {

  /**
   * Applies the next record.
   *
   * @throws IllegalArgumentException if the offset is not above every offset applied before
   */
  void apply(LogRecord entry);

  /** Returns the offset after the last applied record; the place to read on from. */
  long nextOffset();
}
