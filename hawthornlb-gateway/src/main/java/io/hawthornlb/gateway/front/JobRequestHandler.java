package io.hawthornlb.gateway.front;

import java.util.Optional;

/** Handles callers' requests about jobs. */
public interface JobRequestHandler extends RequestHandler {

  /**
   * Returns the id of the job that a request concerns if the job must have been accepted earlier;
   * such a request needs no route.
   */
  Optional<String> namedJob(FrontRequest request);

  /** Returns whether a request submits a job. */
  boolean submitsJob(FrontRequest request);

  /**
   * Answers a request that submits a job where no route accepts jobs any more: as accepted if the
   * job was accepted earlier, else as one without a route.
   */
  Handling confirm(FrontRequest request, Responder responder);
}
