package io.hawthornlb.net.endpoint;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/** Creates calls that resume the token streams of an engine, and cancels these streams. */
public final class EngineStreams {

  private static final String PATH = "/v1/streams/";
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

  private EngineStreams() {}

  /** Returns the call that resumes a stream at a token, over another connection. */
  public static EndpointCall resume(
      String address, String requestId, long fromToken, TrafficKind kind) {
    Checks.notNegative(fromToken, "from token");
    return EndpointCall.bare(address, "GET", PATH + requestId + "?from=" + fromToken, kind);
  }

  /**
   * Requests that an engine stops a stream and keeps the tokens generated so far.
   *
   * <p>The result of the request is ignored, since the response may be lost.
   */
  public static void cancel(EndpointClient client, String address, String requestId) {
    client
        .exchange(
            EndpointCall.bare(address, "DELETE", PATH + requestId, TrafficKind.CONTROL),
            CANCEL_TIMEOUT)
        .subscribe(response -> {}, error -> {});
  }
}
