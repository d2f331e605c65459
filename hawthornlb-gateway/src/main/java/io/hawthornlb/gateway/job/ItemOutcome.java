package io.hawthornlb.gateway.job;

/** Receives the end of an item's runs. */
interface ItemOutcome {

  /** Takes the result of an item. */
  void done(JobItem item, JobResult result);
}
