package io.hawthornlb.gateway.front;

/** Handles callers' requests. */
public interface RequestHandler {

  /** Begins to handle a request; the answer goes to the responder. */
  Handling handle(FrontRequest request, Responder responder);

  /** A request that is being handled. */
  interface Handling {

    /** Is told that the caller has left. */
    void callerGone();

    /** Is told that the caller reads again after {@link Responder#congested()}. */
    default void drained() {}
  }
}
