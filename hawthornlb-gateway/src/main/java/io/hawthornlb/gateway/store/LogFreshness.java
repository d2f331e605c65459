package io.hawthornlb.gateway.store;

import java.time.Instant;
import java.util.concurrent.CompletionStage;

/** Reports how current a process's copy of a log is, and updates the copy on request. */
public interface LogFreshness {

  /** Returns a time; the process has read everything that was written before it. */
  Instant freshAsOf();

  /**
   * Reads the log immediately; concurrent callers share one read.
   *
   * @return stage that completes with the next reply that reaches the end of the log, and fails if
   *     the store is unavailable
   */
  CompletionStage<Void> refresh();
}
