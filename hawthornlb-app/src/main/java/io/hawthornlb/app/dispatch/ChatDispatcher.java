package io.hawthornlb.app.dispatch;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.core.model.HeaderField;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.suspect.Fingerprint;
import io.hawthornlb.net.endpoint.EndpointCall;
import io.hawthornlb.net.endpoint.EndpointCallException;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.EndpointFault;
import io.hawthornlb.net.endpoint.EndpointResponse;
import io.hawthornlb.net.endpoint.EngineStreams;
import io.hawthornlb.net.endpoint.TrafficKind;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Serves chat completions by calls to engines. */
public final class ChatDispatcher implements ChatService {

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final Duration MAX_TIME_PER_TOKEN = Duration.ofMillis(200);

  private final AttemptRunner runner;
  private final OnlineDecisions decisions;
  private final EndpointClient endpoints;
  private final ObjectMapper mapper;
  private final InstantSource clock;
  private final Supplier<RequestId> requestIds;

  /** Creates a dispatcher. */
  public ChatDispatcher(
      OnlineDecisions decisions,
      EndpointClient endpoints,
      ObjectMapper mapper,
      InstantSource clock,
      Supplier<RequestId> requestIds) {
    this.runner = new AttemptRunner(decisions);
    this.decisions = decisions;
    this.endpoints = endpoints;
    this.mapper = mapper;
    this.clock = clock;
    this.requestIds = requestIds;
  }

  @Override
  public Mono<EndpointResponse> complete(ChatCall call) {
    return runner.run(request(call), attempt -> exchangeOnce(attempt, call));
  }

  @Override
  public Mono<Flux<String>> stream(ChatCall call) {
    return Mono.defer(
        () -> {
          StreamSession session =
              new StreamSession(request(call), call, decisions, endpoints, mapper);
          return session.start();
        });
  }

  private Mono<EndpointResponse> exchangeOnce(RoutedAttempt attempt, ChatCall call) {
    AtomicBoolean answered = new AtomicBoolean();
    return endpoints
        .exchange(engineCall(attempt, call), answerTimeout(attempt))
        .flatMap(ChatDispatcher::checked)
        .doOnNext(answer -> answered.set(true))
        .doOnNext(answer -> decisions.answering(attempt))
        .doOnNext(answer -> decisions.succeeded(attempt))
        .doOnError(error -> cancelAtEngine(attempt))
        .doOnCancel(
            () -> {
              if (!answered.get()) {
                cancelAtEngine(attempt);
              }
            });
  }

  /**
   * Returns the timeout for a complete answer: the time that the slowest engine needs for it, or
   * the remaining time until the deadline if that is shorter.
   *
   * <p>A connection on which no more data arrives does not fail on its own. Without this timeout
   * the caller would wait until the deadline, although another endpoint could still answer in time.
   */
  private static Duration answerTimeout(RoutedAttempt attempt) {
    OnlineRequest request = attempt.request();
    Duration slowest =
        request
            .service()
            .firstToken()
            .multipliedBy(2)
            .plus(MAX_TIME_PER_TOKEN.multipliedBy(request.maxTokens()));
    return slowest.compareTo(attempt.remaining()) < 0 ? slowest : attempt.remaining();
  }

  private static Mono<EndpointResponse> checked(EndpointResponse answer) {
    if (answer.status() == SERVICE_UNAVAILABLE || answer.status() == TOO_MANY_REQUESTS) {
      return Mono.error(
          new EndpointCallException(EndpointFault.DECLINED, "the engine declined", null));
    }
    if (answer.status() >= FIRST_SERVER_ERROR) {
      return Mono.error(
          new EndpointCallException(
              EndpointFault.ERRORED, "the engine answered " + answer.status(), null));
    }
    return Mono.just(answer);
  }

  private void cancelAtEngine(RoutedAttempt attempt) {
    EngineStreams.cancel(endpoints, attempt.address(), attempt.request().id().value());
  }

  private OnlineRequest request(ChatCall call) {
    return new OnlineRequest(
        requestIds.get(),
        call.workspace(),
        call.service(),
        Fingerprint.of(call.service().name().value(), call.body()),
        true,
        call.promptTokens(),
        call.maxTokens(),
        call.prefixHashes(),
        clock.instant().plus(call.service().deadline()));
  }

  /** Returns the call that carries a chat request to an engine. */
  static EndpointCall engineCall(RoutedAttempt attempt, ChatCall call) {
    return new EndpointCall(
        attempt.address(),
        "POST",
        "/v1/chat/completions",
        List.of(
            new HeaderField(EndpointCall.REQUEST_ID_HEADER, attempt.request().id().value()),
            new HeaderField("Content-Type", "application/json")),
        call.body(),
        TrafficKind.ONLINE);
  }
}
