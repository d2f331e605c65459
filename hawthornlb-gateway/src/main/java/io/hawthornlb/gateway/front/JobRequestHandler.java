package io.hawthornlb.gateway.front;

/** Handles callers' requests about jobs. */
public interface JobRequestHandler extends RequestHandler {

  /**
   * Returns whether a request concerns a job that was accepted earlier; such a request needs no
   * route.
   */
  boolean namesJob(FrontRequest request);
}
