package io.hawthornlb.core.model;

/** The class of a request, which orders the work before the endpoints. */
public enum RequestClass {
  /** A person waits for the first token or the answer. */
  INTERACTIVE,
  /** Online work that arrives many at once, due within minutes. */
  BULK,
  /** Items of batch jobs, which run on capacity that nobody else needs. */
  BATCH
}
