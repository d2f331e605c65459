package io.hawthornlb.gateway.front;

import java.util.OptionalInt;

/** Handles callers' requests. */
public interface RequestHandler {

  /**
   * Returns the status with which a request is refused before its body is read; empty if the body
   * must be read first.
   *
   * @param head the request without its body
   */
  default OptionalInt refusalOf(FrontRequest head) {
    return OptionalInt.empty();
  }

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
