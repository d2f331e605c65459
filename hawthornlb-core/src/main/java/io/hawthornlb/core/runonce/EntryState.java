package io.hawthornlb.core.runonce;

/**
 * What is known of one attempt; a later constant replaces an earlier one.
 *
 * <p>The order makes the state of an attempt the same in whichever order its records arrive.
 */
public enum EntryState {
  /** It may be running, or have run. */
  INTENT,
  /** It had reached an endpoint when it failed; nobody knows what ran. */
  UNKNOWN,
  /** It was given up before an endpoint had a byte of it; another attempt may run. */
  ABANDONED,
  /** The endpoint answered; the result is kept. */
  COMPLETED
}
