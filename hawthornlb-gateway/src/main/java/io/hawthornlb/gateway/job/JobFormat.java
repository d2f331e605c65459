package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.front.FrontRequest;
import java.util.List;
import java.util.Optional;

/** Translates between callers' HTTP requests and calls about jobs. */
public interface JobFormat {

  /**
   * Parses a request.
   *
   * @return the call; empty if the request is not about a job
   * @throws UnreadableException if the request is about a job but cannot be parsed; names the
   *     faulty part
   */
  Optional<JobCall> call(FrontRequest request);

  /**
   * Returns the id of the job that a request is about, if method and path are those of a request
   * about a job that was submitted before.
   */
  Optional<String> namedJob(FrontRequest request);

  /**
   * Returns a request that reads no results of the job that another request submits. It is answered
   * at once, and with success if the job exists.
   */
  FrontRequest existenceCheck(FrontRequest submission);

  /**
   * Encodes a page of results.
   *
   * @param total number of items of the job
   * @param after position of the first result
   */
  byte[] results(int total, int after, List<JobResult> results);

  /** Returns the content type of the pages that {@link #results} encodes. */
  String resultsType();
}
