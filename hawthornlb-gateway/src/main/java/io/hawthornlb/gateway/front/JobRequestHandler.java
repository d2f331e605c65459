package io.hawthornlb.gateway.front;

/** Handles callers' requests about jobs. */
public interface JobRequestHandler extends RequestHandler {

  /** Returns whether a request is about a job that was taken before, and needs no route. */
  boolean namesJob(FrontRequest request);
}
