package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.catalogue.Repeatability;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.suspect.Fingerprint;
import io.hawthornlb.net.endpoint.EndpointCall;
import io.hawthornlb.net.endpoint.EndpointCallException;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.EndpointFault;
import io.hawthornlb.net.endpoint.EndpointResponse;
import io.hawthornlb.net.endpoint.TrafficKind;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;

/** Serves calls to plain services directly, without a durable intent. */
public final class PlainDispatcher implements PlainService {

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

  private final AttemptRunner runner;
  private final OnlineDecisions decisions;
  private final EndpointClient endpoints;
  private final InstantSource clock;
  private final Supplier<RequestId> requestIds;

  /** Creates a dispatcher. */
  public PlainDispatcher(
      OnlineDecisions decisions,
      EndpointClient endpoints,
      InstantSource clock,
      Supplier<RequestId> requestIds) {
    this.runner = new AttemptRunner(decisions);
    this.decisions = decisions;
    this.endpoints = endpoints;
    this.clock = clock;
    this.requestIds = requestIds;
  }

  @Override
  public Mono<EndpointResponse> call(PlainCall call) {
    return runner.run(request(call), attempt -> callOnce(attempt, call));
  }

  /** Returns whether a call may be executed more than once. */
  public static boolean idempotent(PlainCall call) {
    if (call.idempotencyKey().isPresent()) {
      return false;
    }
    Repeatability repeatability = call.service().repeatability();
    return repeatability == Repeatability.IDEMPOTENT
        || (repeatability == Repeatability.SAFE_METHODS && SAFE_METHODS.contains(call.method()));
  }

  private Mono<EndpointResponse> callOnce(RoutedAttempt attempt, PlainCall call) {
    EndpointCall sent =
        new EndpointCall(
            attempt.address(),
            call.method(),
            call.uri(),
            call.headers(),
            call.body(),
            TrafficKind.ONLINE);
    return endpoints
        .exchange(sent, attempt.remaining())
        .flatMap(answer -> checked(answer, attempt))
        .doOnNext(answer -> decisions.answering(attempt))
        .doOnNext(answer -> decisions.succeeded(attempt));
  }

  /**
   * Fails with {@link EndpointFault#DECLINED} for status 503 if the call may be repeated, and
   * returns every other answer unchanged.
   *
   * <p>A service that answers 503 to a call that must run at most once may have processed the call
   * before it failed. The caller therefore receives that answer unchanged.
   */
  private static Mono<EndpointResponse> checked(EndpointResponse answer, RoutedAttempt attempt) {
    if (answer.status() == SERVICE_UNAVAILABLE && attempt.request().idempotent()) {
      return Mono.error(
          new EndpointCallException(EndpointFault.DECLINED, "the service declined", null));
    }
    return Mono.just(answer);
  }

  private OnlineRequest request(PlainCall call) {
    return new OnlineRequest(
        requestIds.get(),
        call.workspace(),
        call.service(),
        Fingerprint.of(call.service().name() + call.method() + call.uri(), call.body()),
        idempotent(call),
        0,
        0,
        List.of(),
        clock.instant().plus(call.service().deadline()));
  }
}
