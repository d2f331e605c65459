package io.hawthornlb.gateway.front;

import java.time.Duration;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** A request that is handled once something is known that it waits for. */
final class DeferredHandling implements RequestHandler.Handling {

  private final Responder responder;
  private final Duration retry;
  private RequestHandler.@Nullable Handling begun;
  private boolean over;

  /**
   * Creates a handling that has not begun.
   *
   * @param retry when a caller is to come back whose request the process does not begin any more
   */
  DeferredHandling(Responder responder, Duration retry) {
    this.responder = responder;
    this.retry = retry;
  }

  /** Begins to handle the request, unless nobody waits for its answer any more. */
  void begin(Supplier<RequestHandler.Handling> handling) {
    if (!over) {
      begun = handling.get();
    }
  }

  @Override
  public void callerGone() {
    over = true;
    if (begun != null) {
      begun.callerGone();
    }
  }

  @Override
  public void drained() {
    if (begun != null) {
      begun.drained();
    }
  }

  @Override
  public void processEnds() {
    if (begun != null) {
      begun.processEnds();
    } else if (!over) {
      over = true;
      responder.own(503, retry);
    }
  }
}
