package io.hawthornlb.app.dispatch;

import io.hawthornlb.net.endpoint.EndpointFault;
import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * Decides about the admission, routing and retries of online requests. All methods may be called
 * from any thread.
 *
 * <p>Each admitted request ends with exactly one call of {@link #finished}.
 */
public interface OnlineDecisions {

  /** Admits a request. Completes once it may start, or fails with {@link RefusalException}. */
  Mono<Void> admit(OnlineRequest request);

  /** Returns the next attempt of a request, or fails with {@link RefusalException}. */
  Mono<RoutedAttempt> route(OnlineRequest request);

  /** Reports that the first token or the complete answer has arrived. */
  void answering(RoutedAttempt attempt);

  /** Reports that the complete answer has arrived. */
  void succeeded(RoutedAttempt attempt);

  /** Reports that the caller disconnected while the endpoint had the request. */
  void cancelled(RoutedAttempt attempt);

  /**
   * Reports a failed attempt. Returns the delay before the next attempt, or fails with {@link
   * RefusalException} if the request must not be attempted again.
   */
  Mono<Duration> failed(RoutedAttempt attempt, EndpointFault fault);

  /** Reports that an admitted request has ended, so that its resources are released. */
  void finished(OnlineRequest request);
}
