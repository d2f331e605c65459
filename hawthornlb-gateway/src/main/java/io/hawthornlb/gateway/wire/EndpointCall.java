package io.hawthornlb.gateway.wire;

/** A request that was sent to an endpoint. */
public interface EndpointCall {

  /** Aborts the request and closes the connection, so that the endpoint stops working on it. */
  void abort();

  /**
   * Ends an answer that is too long: closes the connection, and fails the request.
   *
   * @param bytes bytes of the part so far
   */
  void endTooLong(AnswerPart part, long bytes);

  /** Suspends or resumes reading the response. */
  void setReading(boolean on);

  /** Returns how many requests the connection carried before this one; zero for a new one. */
  int carriedBefore();
}
