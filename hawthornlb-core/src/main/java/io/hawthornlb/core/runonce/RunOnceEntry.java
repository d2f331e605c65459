package io.hawthornlb.core.runonce;

import io.hawthornlb.core.util.Checks;
import java.time.Instant;
import java.util.Optional;

/**
 * What is kept of one attempt, in the log and at witnesses.
 *
 * @param key names the request
 * @param fingerprint a hash of its content
 * @param attempt names the attempt
 * @param state what is known of it
 * @param result the answer of the endpoint, if it completed
 * @param cause why it did not, if that is known; otherwise empty
 * @param expiresAt until when the key is remembered
 */
public record RunOnceEntry(
    RunOnceKey key,
    String fingerprint,
    AttemptId attempt,
    EntryState state,
    Optional<ServiceResult> result,
    String cause,
    Instant expiresAt) {

  /** Checks that a completed attempt has a result. */
  public RunOnceEntry {
    boolean completed = state == EntryState.COMPLETED;
    Checks.isTrue(completed == result.isPresent(), "exactly completed attempts have a result");
  }

  /** Returns this attempt with its result. */
  public RunOnceEntry completed(ServiceResult answer) {
    return new RunOnceEntry(
        key, fingerprint, attempt, EntryState.COMPLETED, Optional.of(answer), "", expiresAt);
  }

  /** Returns this attempt, ended without a result. */
  public RunOnceEntry ended(EntryState end, String why) {
    return new RunOnceEntry(key, fingerprint, attempt, end, Optional.empty(), why, expiresAt);
  }

  /** Returns whether this says more than another entry of the same key. */
  public boolean supersedes(RunOnceEntry other) {
    int order = attempt.compareTo(other.attempt);
    return order > 0 || order == 0 && state.compareTo(other.state) > 0;
  }
}
