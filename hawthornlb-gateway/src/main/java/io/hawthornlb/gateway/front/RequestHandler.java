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

    /**
     * Is told that the process ends now, so that no answer can come any more.
     *
     * <p>Whoever knows that the request has not run says so; otherwise the caller gets a failure
     * that promises nothing.
     */
    default void processEnds() {}
  }
}
