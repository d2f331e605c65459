package io.hawthornlb.net.endpoint;

import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Calls endpoints; every failure is an {@link EndpointCallException}.
 *
 * <p>A call is sent once. Whoever repeats one decides so from its fault.
 */
public interface EndpointClient extends AutoCloseable {

  /** Returns the whole answer, or fails when it has not arrived within the timeout. */
  Mono<WholeAnswer> exchange(EndpointCall call, Duration timeout);

  /**
   * Returns the data of each event of a token stream.
   *
   * <p>Cancelling the subscription closes the connection. The stream fails when no event came for
   * {@code silence}, or when the connection ends; whether the last event was the end marker is for
   * the subscriber to see.
   */
  Flux<String> events(EndpointCall call, Duration silence);

  @Override
  void close();
}
