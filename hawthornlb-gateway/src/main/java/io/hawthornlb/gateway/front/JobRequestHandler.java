package io.hawthornlb.gateway.front;

import java.util.Optional;

/** Handles callers' requests about jobs. */
public interface JobRequestHandler extends RequestHandler {

  /**
   * Returns the id of the job that a request concerns if the job must have been accepted earlier;
   * such a request needs no route.
   */
  Optional<String> namedJob(FrontRequest request);
}
