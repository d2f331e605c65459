package io.hawthornlb.app.dispatch;

import io.hawthornlb.net.endpoint.EndpointFault;
import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * The decisions about online requests, asked from any thread.
 *
 * <p>Each admitted request ends with exactly one call of {@link #finished}.
 */
public interface OnlineDecisions {

  /** Completes when the request may start, or fails with {@link RefusalException}. */
  Mono<Void> admit(OnlineRequest request);

  /** Returns where to try next, or fails with {@link RefusalException}. */
  Mono<RoutedAttempt> route(OnlineRequest request);

  /** Tells that the first token or the whole answer is there. */
  void answering(RoutedAttempt attempt);

  /** Tells that the endpoint gave the whole answer. */
  void succeeded(RoutedAttempt attempt);

  /** Tells that the caller went away while the endpoint had the request. */
  void cancelled(RoutedAttempt attempt);

  /**
   * Returns how long to wait before the next try, or fails with {@link RefusalException} when there
   * must not be one.
   */
  Mono<Duration> failed(RoutedAttempt attempt, EndpointFault fault);

  /** Tells that an admitted request needs nothing any more. */
  void finished(OnlineRequest request);
}
