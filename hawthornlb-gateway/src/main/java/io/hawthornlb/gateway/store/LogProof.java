package io.hawthornlb.gateway.store;

import java.time.Instant;
import java.util.concurrent.CompletionStage;

/** Tells how fresh what a process has read of a log is, and reads on when asked. */
public interface LogProof {

  /** Returns a moment before which nothing was written that has not been read. */
  Instant provenAt();

  /**
   * Reads on at once; callers that come meanwhile share one read.
   *
   * @return ends with the next answer that reaches the end of the log; fails if the store does not
   *     answer
   */
  CompletionStage<Void> refresh();
}
