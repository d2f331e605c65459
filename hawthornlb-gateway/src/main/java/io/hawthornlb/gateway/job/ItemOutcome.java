package io.hawthornlb.gateway.job;

/** Receives what becomes of an item's runs. */
interface ItemOutcome {

  /** Takes the result of an item. */
  void done(JobItem item, JobResult result);

  /** Takes the number of an item's runs that an endpoint has ended with a failure of its own. */
  void failed(JobItem item, int count);
}
