package io.hawthornlb.gateway.job;

/** Listener for the outcome of an item's attempts. */
interface ItemOutcome {

  /** Called with the result of an item, once the item has completed or is given up. */
  void done(JobItem item, JobResult result);

  /**
   * Called when an endpoint has failed at an item.
   *
   * @param count number of attempts so far that an endpoint has ended with status 500
   */
  void endpointFailed(JobItem item, int count);
}
