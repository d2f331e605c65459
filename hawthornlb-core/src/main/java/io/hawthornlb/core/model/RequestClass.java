package io.hawthornlb.core.model;

/** Class of a request, which determines its order in the queue for endpoints. */
public enum RequestClass {
  /** A person waits for the first token or for the answer. */
  INTERACTIVE,
  /** Online work that arrives in large numbers at once and is due within minutes. */
  BULK,
  /** Items of batch jobs, which run on capacity that no other work needs. */
  BATCH
}
