package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.HttpText;
import io.hawthornlb.gateway.decode.UnreadableException;
import java.time.Duration;
import java.util.List;

/** A caller's request about a job. */
public sealed interface JobCall {

  /** Returns the id of the job. */
  String jobId();

  /** Returns this call about a job with another id. */
  JobCall withJobId(String id);

  /**
   * Checks that the id of a new job can be used in the keys of records.
   *
   * @throws UnreadableException if the id is empty, too long or holds a character that is not
   *     allowed
   */
  static void checkId(String place, String id) {
    HttpText.id(place, id, JobRecords.MAX_ID);
  }

  /** Request to accept a new job. */
  record Submit(String jobId, List<JobItem> items) implements JobCall {

    @Override
    public JobCall withJobId(String id) {
      return new Submit(id, items);
    }
  }

  /**
   * Request for a page of results.
   *
   * @param after position of the first requested result
   * @param waitTime longest time that the request may wait for a result
   */
  record Read(String jobId, int after, Duration waitTime) implements JobCall {

    @Override
    public JobCall withJobId(String id) {
      return new Read(id, after, waitTime);
    }
  }

  /** Request for the body of an item. */
  record ReadBody(String jobId, String itemId) implements JobCall {

    @Override
    public JobCall withJobId(String id) {
      return new ReadBody(id, itemId);
    }
  }

  /** Request to end a job. */
  record End(String jobId) implements JobCall {

    @Override
    public JobCall withJobId(String id) {
      return new End(id);
    }
  }
}
