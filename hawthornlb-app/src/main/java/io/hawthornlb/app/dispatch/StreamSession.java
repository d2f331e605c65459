package io.hawthornlb.app.dispatch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.net.endpoint.EndpointCall;
import io.hawthornlb.net.endpoint.EndpointCallException;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.EndpointFault;
import io.hawthornlb.net.endpoint.EngineStreams;
import io.hawthornlb.net.endpoint.TrafficKind;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Handles one token stream, from the admission of the request to the end marker.
 *
 * <p>An attempt that fails before the first event is retried at another endpoint. After the first
 * event, the session resumes the stream at the same endpoint, from the first token that the caller
 * has not received, since another endpoint would generate different text.
 */
final class StreamSession {

  /** The data of the event that ends a complete stream. */
  static final String END_MARKER = "[DONE]";

  private static final String TOKEN_FIELD = "hawthornlb_token";
  private static final int BUFFERED_EVENTS = 4_096;
  private static final int MAX_RESUMES_WITHOUT_PROGRESS = 3;
  private static final Duration MIN_IDLE_TIMEOUT = Duration.ofSeconds(2);

  private final OnlineRequest request;
  private final ChatCall call;
  private final OnlineDecisions decisions;
  private final EndpointClient endpoints;
  private final ObjectMapper mapper;
  private final Sinks.One<Flux<String>> started = Sinks.one();
  private final Sinks.Many<String> events =
      Sinks.many().unicast().onBackpressureBuffer(new ArrayBlockingQueue<>(BUFFERED_EVENTS));
  private final Disposable.Composite upstream = Disposables.composite();
  private final AtomicBoolean closed = new AtomicBoolean();

  private volatile @Nullable RoutedAttempt attempt;
  private volatile boolean firstEventReceived;
  private volatile boolean endMarkerReceived;
  private volatile long nextToken;
  private volatile int resumes;

  StreamSession(
      OnlineRequest request,
      ChatCall call,
      OnlineDecisions decisions,
      EndpointClient endpoints,
      ObjectMapper mapper) {
    this.request = request;
    this.call = call;
    this.decisions = decisions;
    this.endpoints = endpoints;
    this.mapper = mapper;
  }

  /** Returns the stream once its first event has arrived. */
  Mono<Flux<String>> start() {
    return decisions
        .admit(request)
        .then(Mono.defer(this::begin))
        .doOnCancel(this::onStartCancelled);
  }

  /**
   * Handles a cancellation of the Mono that waits for the first event.
   *
   * <p>A subscriber of a Mono may cancel right after it has received the value. Such a cancellation
   * does not mean that the caller disconnected; treating it so would end each stream after its
   * first event.
   */
  private void onStartCancelled() {
    if (!firstEventReceived) {
      onCallerDisconnect();
    }
  }

  private Mono<Flux<String>> begin() {
    upstream.add(attempts().subscribe(this::publish, this::fail, this::complete));
    return started.asMono();
  }

  private Flux<String> attempts() {
    return decisions
        .route(request)
        .flatMapMany(this::open)
        .onErrorResume(EndpointCallException.class, this::recover);
  }

  private Flux<String> open(RoutedAttempt routed) {
    attempt = routed;
    return untilEndMarker(endpoints.events(ChatDispatcher.engineCall(routed, call), idleTimeout()));
  }

  /** Drops tokens that were already received, and fails if the end marker is missing. */
  private Flux<String> untilEndMarker(Flux<String> source) {
    return source
        .filter(this::isNewToken)
        .concatWith(Flux.defer(() -> endMarkerReceived ? Flux.empty() : Flux.error(endedEarly())))
        .takeUntil(END_MARKER::equals);
  }

  private boolean isNewToken(String data) {
    if (END_MARKER.equals(data)) {
      endMarkerReceived = true;
      return true;
    }
    long token = token(data);
    if (token >= 0 && token < nextToken) {
      return false;
    }
    resumes = 0;
    nextToken = token >= 0 ? token + 1 : nextToken;
    return true;
  }

  private static EndpointCallException endedEarly() {
    return new EndpointCallException(EndpointFault.BROKEN, "stream ended early", null);
  }

  private Flux<String> recover(EndpointCallException error) {
    RoutedAttempt current = attempt;
    if (current == null) {
      return Flux.error(error);
    }
    EndpointFault fault = error.fault();
    boolean mayStillRun = fault == EndpointFault.TIMED_OUT || fault == EndpointFault.BROKEN;
    if (mayStillRun && resumes < MAX_RESUMES_WITHOUT_PROGRESS) {
      resumes++;
      return resume(current).onErrorResume(EndpointCallException.class, this::recover);
    }
    resumes = 0;
    if (nextToken > 0) {
      return decisions
          .failed(current, fault)
          .thenMany(Flux.error(new RefusalException(endpointLost())));
    }
    return decisions
        .failed(current, fault)
        .flatMap(Mono::delay)
        .thenMany(Flux.defer(this::attempts));
  }

  /**
   * Requests the remaining tokens from the endpoint over a new connection.
   *
   * <p>A network device between the two ends may have lost the state of the first connection. That
   * connection then stays open without delivering any data, while the endpoint continues to
   * generate. The new connection shows whether the endpoint still has the stream. Tokens that
   * arrive twice are recognized by their number and dropped.
   */
  private Flux<String> resume(RoutedAttempt current) {
    EndpointCall resumption =
        EngineStreams.resume(
            current.address(), request.id().value(), nextToken, TrafficKind.ONLINE);
    return untilEndMarker(endpoints.events(resumption, idleTimeout()));
  }

  private void publish(String data) {
    if (!firstEventReceived) {
      firstEventReceived = true;
      RoutedAttempt current = attempt;
      if (current != null) {
        decisions.answering(current);
      }
      started.tryEmitValue(events.asFlux().doOnCancel(this::onCallerDisconnect));
    }
    if (events.tryEmitNext(data).isFailure()) {
      onCallerDisconnect();
      events.tryEmitError(new RefusalException(endpointLost()));
    }
  }

  private void complete() {
    if (closed.compareAndSet(false, true)) {
      RoutedAttempt current = attempt;
      if (current != null) {
        decisions.succeeded(current);
      }
      events.tryEmitComplete();
      decisions.finished(request);
    }
  }

  private void fail(Throwable error) {
    if (closed.compareAndSet(false, true)) {
      started.tryEmitError(error);
      events.tryEmitError(error);
      decisions.finished(request);
    }
  }

  private void onCallerDisconnect() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    upstream.dispose();
    RoutedAttempt current = attempt;
    if (current != null) {
      EngineStreams.cancel(endpoints, current.address(), request.id().value());
      decisions.cancelled(current);
    }
    decisions.finished(request);
  }

  /**
   * Returns how long the connection may stay idle. The timeout doubles with each resume that made
   * no progress.
   */
  private Duration idleTimeout() {
    return MIN_IDLE_TIMEOUT.multipliedBy(1L << resumes);
  }

  private long token(String data) {
    try {
      JsonNode token = mapper.readTree(data).path(TOKEN_FIELD);
      return token.isIntegralNumber() ? token.asLong() : -1;
    } catch (JsonProcessingException e) {
      return -1;
    }
  }

  private static Refusal endpointLost() {
    return Refusal.mayHaveRun(
        RefusalReason.ENDPOINT_FAILED, "the endpoint was lost; the text so far is not the whole");
  }
}
