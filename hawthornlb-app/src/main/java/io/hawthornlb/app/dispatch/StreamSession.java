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
 * One token stream from its admission to its end marker.
 *
 * <p>Before the first event a failed try moves to another endpoint. After it the stream is resumed
 * at the same endpoint from the first token that the caller lacks, since another endpoint would
 * generate other text.
 */
final class StreamSession {

  /** The data of the event that ends a whole stream. */
  static final String END_MARKER = "[DONE]";

  private static final String TOKEN_FIELD = "hawthornlb_token";
  private static final int BUFFERED_EVENTS = 4_096;
  private static final int RESUMES_WITHOUT_PROGRESS = 3;
  private static final Duration SHORTEST_SILENCE = Duration.ofSeconds(2);

  private final OnlineRequest request;
  private final ChatCall call;
  private final OnlineDecisions decisions;
  private final EndpointClient endpoints;
  private final ObjectMapper mapper;
  private final Sinks.One<Flux<String>> started = Sinks.one();
  private final Sinks.Many<String> events =
      Sinks.many().unicast().onBackpressureBuffer(new ArrayBlockingQueue<>(BUFFERED_EVENTS));
  private final Disposable.Composite upstream = Disposables.composite();
  private final AtomicBoolean over = new AtomicBoolean();

  private volatile @Nullable RoutedAttempt attempt;
  private volatile boolean begun;
  private volatile boolean ended;
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

  /** Returns the stream once its first event is there. */
  Mono<Flux<String>> start() {
    return decisions.admit(request).then(Mono.defer(this::begin)).doOnCancel(this::startCancelled);
  }

  /**
   * Takes a cancellation of the wait for the first event.
   *
   * <p>Subscribers of a single value may cancel right after they have it. Taken for a caller that
   * left, that would end each stream after its first event.
   */
  private void startCancelled() {
    if (!begun) {
      callerLeft();
    }
  }

  private Mono<Flux<String>> begin() {
    upstream.add(tries().subscribe(this::publish, this::fail, this::complete));
    return started.asMono();
  }

  private Flux<String> tries() {
    return decisions
        .route(request)
        .flatMapMany(this::open)
        .onErrorResume(EndpointCallException.class, this::recover);
  }

  private Flux<String> open(RoutedAttempt routed) {
    attempt = routed;
    return whole(endpoints.events(ChatDispatcher.engineCall(routed, call), silence()));
  }

  /** Drops tokens that came before, and fails where the end marker is missing. */
  private Flux<String> whole(Flux<String> source) {
    return source
        .filter(this::isNew)
        .concatWith(Flux.defer(() -> ended ? Flux.empty() : Flux.error(endedEarly())))
        .takeUntil(END_MARKER::equals);
  }

  private boolean isNew(String data) {
    if (END_MARKER.equals(data)) {
      ended = true;
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
    boolean mayBeThere = fault == EndpointFault.TIMED_OUT || fault == EndpointFault.BROKEN;
    if (mayBeThere && resumes < RESUMES_WITHOUT_PROGRESS) {
      resumes++;
      return resume(current).onErrorResume(EndpointCallException.class, this::recover);
    }
    resumes = 0;
    if (nextToken > 0) {
      return decisions.failed(current, fault).thenMany(Flux.error(new RefusalException(lost())));
    }
    return decisions.failed(current, fault).flatMap(Mono::delay).thenMany(Flux.defer(this::tries));
  }

  /**
   * Asks the endpoint for the rest over another connection.
   *
   * <p>Something between the two ends may have lost track of the first connection: it stays open,
   * no byte comes, and the endpoint goes on generating. The new connection shows whether the
   * endpoint still has the stream, and tokens that arrive twice are dropped by their number.
   */
  private Flux<String> resume(RoutedAttempt current) {
    EndpointCall rest =
        EngineStreams.resume(
            current.address(), request.id().value(), nextToken, TrafficKind.ONLINE);
    return whole(endpoints.events(rest, silence()));
  }

  private void publish(String data) {
    if (!begun) {
      begun = true;
      RoutedAttempt current = attempt;
      if (current != null) {
        decisions.answering(current);
      }
      started.tryEmitValue(events.asFlux().doOnCancel(this::callerLeft));
    }
    if (events.tryEmitNext(data).isFailure()) {
      callerLeft();
      events.tryEmitError(new RefusalException(lost()));
    }
  }

  private void complete() {
    if (over.compareAndSet(false, true)) {
      RoutedAttempt current = attempt;
      if (current != null) {
        decisions.succeeded(current);
      }
      events.tryEmitComplete();
      decisions.finished(request);
    }
  }

  private void fail(Throwable error) {
    if (over.compareAndSet(false, true)) {
      started.tryEmitError(error);
      events.tryEmitError(error);
      decisions.finished(request);
    }
  }

  private void callerLeft() {
    if (!over.compareAndSet(false, true)) {
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

  /** Returns how long the connection may give nothing; longer with each resume in vain. */
  private Duration silence() {
    return SHORTEST_SILENCE.multipliedBy(1L << resumes);
  }

  private long token(String data) {
    try {
      JsonNode token = mapper.readTree(data).path(TOKEN_FIELD);
      return token.isIntegralNumber() ? token.asLong() : -1;
    } catch (JsonProcessingException e) {
      return -1;
    }
  }

  private static Refusal lost() {
    return Refusal.mayHaveRun(
        RefusalReason.ENDPOINT_FAILED, "the endpoint was lost; the text so far is not the whole");
  }
}
