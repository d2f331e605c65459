package io.hawthornlb.app.dispatch;

import io.hawthornlb.net.endpoint.EndpointCallException;
import java.util.function.Function;
import reactor.core.publisher.Mono;

/** Runs a request through admission and through its attempts at endpoints. */
public final class AttemptRunner {

  private final OnlineDecisions decisions;

  /** Creates a runner. */
  public AttemptRunner(OnlineDecisions decisions) {
    this.decisions = decisions;
  }

  /**
   * Returns the result of the first attempt that succeeds, or fails with {@link RefusalException}.
   *
   * @param request the request
   * @param call makes one attempt; fails with {@link EndpointCallException}
   * @param <T> the type of the result
   */
  public <T> Mono<T> run(OnlineRequest request, Function<RoutedAttempt, Mono<T>> call) {
    Mono<T> admitted =
        Mono.defer(() -> attempt(request, call)).doFinally(end -> decisions.finished(request));
    return decisions.admit(request).then(admitted);
  }

  private <T> Mono<T> attempt(OnlineRequest request, Function<RoutedAttempt, Mono<T>> call) {
    return decisions
        .route(request)
        .flatMap(
            attempt ->
                call.apply(attempt)
                    .doOnCancel(() -> decisions.cancelled(attempt))
                    .onErrorResume(
                        EndpointCallException.class, error -> retry(attempt, error, call)));
  }

  private <T> Mono<T> retry(
      RoutedAttempt attempt, EndpointCallException error, Function<RoutedAttempt, Mono<T>> call) {
    return decisions
        .failed(attempt, error.fault())
        .flatMap(Mono::delay)
        .then(Mono.defer(() -> attempt(attempt.request(), call)));
  }
}
