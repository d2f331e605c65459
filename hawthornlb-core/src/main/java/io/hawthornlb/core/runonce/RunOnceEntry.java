package io.hawthornlb.core.runonce;

import io.hawthornlb.core.util.Checks;
import java.time.Instant;
import java.util.Optional;

/**
 * State of one attempt, as stored in the log and at replicas.
 *
 * @param key the key of the request
 * @param fingerprint a hash of the content of the request
 * @param attempt identifies the attempt
 * @param state what is known about the attempt
 * @param result the response of the endpoint; present exactly if the attempt completed
 * @param cause why the attempt did not complete, or empty if it did or if the cause is unknown
 * @param expiresAt when the key expires
 */
public record RunOnceEntry(
    RunOnceKey key,
    String fingerprint,
    AttemptId attempt,
    EntryState state,
    Optional<ServiceResult> result,
    String cause,
    Instant expiresAt) {

  /** Checks that exactly a completed attempt has a result. */
  public RunOnceEntry {
    boolean completed = state == EntryState.COMPLETED;
    Checks.isTrue(
        completed == result.isPresent(), "an entry has a result exactly if its attempt completed");
  }

  /** Returns the entry of this attempt after it completed with a response. */
  public RunOnceEntry completed(ServiceResult answer) {
    return new RunOnceEntry(
        key, fingerprint, attempt, EntryState.COMPLETED, Optional.of(answer), "", expiresAt);
  }

  /** Returns the entry of this attempt after it ended without a result. */
  public RunOnceEntry ended(EntryState end, String why) {
    return new RunOnceEntry(key, fingerprint, attempt, end, Optional.empty(), why, expiresAt);
  }

  /**
   * Returns whether this entry replaces another entry of the same key: it belongs to a later
   * attempt, or to the same attempt in a later state.
   */
  public boolean supersedes(RunOnceEntry other) {
    int order = attempt.compareTo(other.attempt);
    return order > 0 || order == 0 && state.compareTo(other.state) > 0;
  }
}
