package io.hawthornlb.core.runonce;

/**
 * What is known about one attempt; a later constant replaces an earlier one.
 *
 * <p>Since the constants are ordered, the resulting state of an attempt does not depend on the
 * order in which its records arrive.
 */
public enum EntryState {
  /** The attempt may be running, or may have run. */
  INTENT,
  /**
   * The attempt failed after it may have reached an endpoint; whether the request ran is unknown.
   */
  UNKNOWN,
  /**
   * The attempt was abandoned before an endpoint received a byte of it; another attempt may run.
   */
  ABANDONED,
  /** The endpoint responded; its response is stored. */
  COMPLETED
}
