package io.hawthornlb.core.runonce;

/**
 * Identifies an attempt in a certain state.
 *
 * @param key the key of the request
 * @param attempt the attempt
 * @param state the state of the attempt
 */
public record EntryMark(RunOnceKey key, AttemptId attempt, EntryState state) {

  /** Returns the mark that identifies an entry. */
  public static EntryMark of(RunOnceEntry entry) {
    return new EntryMark(entry.key(), entry.attempt(), entry.state());
  }
}
