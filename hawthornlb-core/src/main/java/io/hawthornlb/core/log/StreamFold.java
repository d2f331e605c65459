package io.hawthornlb.core.log;

/**
 * Deterministic state of one stream, made by applying the records of the stream.
 *
 * <p>All instances that apply the same records in the order of their offsets have the same state. A
 * record that does not fit the state at its offset is void and changes nothing.
 */
public interface StreamFold {

  /**
   * Applies the next record.
   *
   * @throws IllegalArgumentException if the offset is not above all offsets applied before
   */
  void apply(LogRecord entry);

  /** Returns the offset after the last applied record, from which to continue reading. */
  long nextOffset();
}
