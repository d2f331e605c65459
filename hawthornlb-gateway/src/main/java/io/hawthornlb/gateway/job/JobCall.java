package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.HttpText;
import io.hawthornlb.gateway.decode.UnreadableException;
import java.time.Duration;
import java.util.List;

/** What a caller asks about a job. */
public sealed interface JobCall {

  /** Returns the id of the job. */
  String jobId();

  /**
   * Checks the id of a new job, which becomes part of keys.
   *
   * @throws UnreadableException if it cannot
   */
  static void checkId(String place, String id) {
    HttpText.id(place, id, JobRecords.MAX_ID);
  }

  /** Submits a job. */
  record Submit(String jobId, List<JobItem> items) implements JobCall {}

  /**
   * Reads results.
   *
   * @param after position of the first result that is asked for
   * @param waitTime time that the call may wait for a result
   */
  record Read(String jobId, int after, Duration waitTime) implements JobCall {}

  /** Reads the body of an item. */
  record ReadBody(String jobId, String itemId) implements JobCall {}

  /** Ends a job. */
  record End(String jobId) implements JobCall {}
}
