package io.hawthornlb.net.endpoint;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/** Names the streams of an engine and cancels them. */
public final class EngineStreams {

  private static final String PATH = "/v1/streams/";
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

  private EngineStreams() {}

  /** Returns the call that reads a stream from a token on, over another connection. */
  public static EndpointCall resume(
      String address, String requestId, long fromToken, TrafficKind kind) {
    Checks.notNegative(fromToken, "from token");
    return EndpointCall.bare(address, "GET", PATH + requestId + "?from=" + fromToken, kind);
  }

  /** Asks an engine to stop a stream and to keep what it has generated; the answer may be lost. */
  public static void cancel(EndpointClient client, String address, String requestId) {
    client
        .exchange(
            EndpointCall.bare(address, "DELETE", PATH + requestId, TrafficKind.CONTROL),
            CANCEL_TIMEOUT)
        .subscribe(answer -> {}, error -> {});
  }
}
