package io.hawthornlb.net.endpoint;

import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Client for calls to endpoints. Every failure is an {@link EndpointCallException}.
 *
 * <p>The client sends each call once. The caller decides from the fault whether to retry.
 */
public interface EndpointClient extends AutoCloseable {

  /** Returns the complete response. Fails if it has not arrived within the timeout. */
  Mono<EndpointResponse> exchange(EndpointCall call, Duration timeout);

  /**
   * Returns the data of each event of a token stream.
   *
   * <p>Cancelling the subscription closes the connection. The stream fails if no event arrives for
   * {@code silence}, or if the connection is closed during the response. A stream may also complete
   * early, so the subscriber must check whether the last event was the end marker.
   */
  Flux<String> events(EndpointCall call, Duration silence);

  @Override
  void close();
}
