package io.hawthornlb.gateway.front;

import java.time.Duration;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** A request whose handling starts only after a condition is met, such as a configuration read. */
final class DeferredHandling implements RequestHandler.Handling {

  private final Responder responder;
  private final Duration retry;
  private RequestHandler.@Nullable Handling started;
  private boolean ended;

  /**
   * Creates a handling that has not started.
   *
   * @param retry Retry-After for a request that has not started when the process shuts down
   */
  DeferredHandling(Responder responder, Duration retry) {
    this.responder = responder;
    this.retry = retry;
  }

  /**
   * Starts handling the request, unless the caller has disconnected or the request has been
   * refused.
   */
  void start(Supplier<RequestHandler.Handling> handling) {
    if (!ended) {
      started = handling.get();
    }
  }

  @Override
  public void onCallerDisconnected() {
    ended = true;
    if (started != null) {
      started.onCallerDisconnected();
    }
  }

  @Override
  public void onWritable() {
    if (started != null) {
      started.onWritable();
    }
  }

  @Override
  public void onShutdown() {
    if (started != null) {
      started.onShutdown();
    } else if (!ended) {
      ended = true;
      responder.sendStatus(503, retry);
    }
  }
}
