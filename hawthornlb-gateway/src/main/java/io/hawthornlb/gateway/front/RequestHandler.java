package io.hawthornlb.gateway.front;

/** Handles callers' requests. */
public interface RequestHandler {

  /** Starts handling a request; the response goes to the responder. */
  Handling handle(FrontRequest request, Responder responder);

  /** A request that is being handled. */
  interface Handling {

    /** Called when the caller has disconnected. */
    void onCallerDisconnected();

    /**
     * Called when the caller's connection is writable again after {@link Responder#congested()}.
     */
    default void onWritable() {}

    /**
     * Called when the process shuts down and no further response can be awaited.
     *
     * <p>An implementation that knows that the request has not run tells the caller so. Otherwise
     * the caller gets a failure that does not state whether the request has run.
     */
    default void onShutdown() {}
  }
}
