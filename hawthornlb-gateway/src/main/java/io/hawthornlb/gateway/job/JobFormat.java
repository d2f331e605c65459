package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.front.FrontRequest;
import java.util.List;
import java.util.Optional;

/** How callers ask about jobs, and how they are answered. */
public interface JobFormat {

  /**
   * Reads a call.
   *
   * @return empty if it is none about a job
   * @throws UnreadableException if it is one that cannot be read, with the place
   */
  Optional<JobCall> call(FrontRequest request);

  /** Returns whether method and path are those of a call about a job that was submitted before. */
  boolean namesJob(FrontRequest request);

  /** Writes a page of results that begins at a position. */
  byte[] results(int total, int after, List<JobResult> results);

  /** Returns the type of {@link #results}. */
  String resultsType();
}
