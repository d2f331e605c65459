package io.hawthornlb.app.entry;

import io.hawthornlb.app.dispatch.OnlineDecisions;
import io.hawthornlb.app.dispatch.OnlineRequest;
import io.hawthornlb.app.dispatch.RefusalException;
import io.hawthornlb.app.dispatch.RoutedAttempt;
import io.hawthornlb.core.admission.AdmissionDecision;
import io.hawthornlb.core.admission.AdmissionRequest;
import io.hawthornlb.core.admission.RefuseRequest;
import io.hawthornlb.core.admission.StartRequest;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.EndpointState;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.retry.FailedAttempt;
import io.hawthornlb.core.retry.Retry;
import io.hawthornlb.core.routing.Route;
import io.hawthornlb.core.routing.RouteRequest;
import io.hawthornlb.core.suspect.Verdict;
import io.hawthornlb.net.endpoint.EndpointFault;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Runs the online policies on the decision loop and converts their effects into results. */
public final class CoreOnlineDecisions implements OnlineDecisions {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration QUARANTINE_POLL_INTERVAL = Duration.ofMillis(20);

  private final DecisionLoop loop;
  private final OnlinePolicies policies;
  private final CrashDetector crashes;
  private final EffectSink effects;
  private final OnlineSuspectTracker suspects;
  private final RequestObserver observer;
  private final DataCentre dataCentre;
  private final int maxRequests;
  private final InstantSource clock;
  private final Map<RequestId, MonoSink<Void>> waiting = new HashMap<>();
  private final Map<RequestId, ActiveRequest> active = new HashMap<>();
  private boolean stopping;

  /** Creates the decisions of an instance. */
  public CoreOnlineDecisions(
      DecisionLoop loop,
      OnlinePolicies policies,
      CrashDetector crashes,
      EffectSink effects,
      RequestObserver observer,
      DataCentre dataCentre,
      int maxRequests,
      InstantSource clock) {
    this.loop = loop;
    this.policies = policies;
    this.crashes = crashes;
    this.effects = effects;
    this.suspects = new OnlineSuspectTracker(policies, effects, clock);
    this.observer = observer;
    this.dataCentre = dataCentre;
    this.maxRequests = maxRequests;
    this.clock = clock;
  }

  @Override
  public Mono<Void> admit(OnlineRequest request) {
    return loop.ask(sink -> offer(request, sink));
  }

  @Override
  public Mono<RoutedAttempt> route(OnlineRequest request) {
    return loop.ask(sink -> choose(request, sink));
  }

  @Override
  public void answering(RoutedAttempt attempt) {
    loop.execute(
        () -> {
          ActiveRequest state = active.get(attempt.request().id());
          if (state != null) {
            observer.firstAnswer(state.request(), elapsedSinceOffer(state));
          }
        });
  }

  @Override
  public void succeeded(RoutedAttempt attempt) {
    loop.execute(
        () -> {
          observe(attempt.endpoint(), Observation.SUCCESS);
          ActiveRequest state = active.get(attempt.request().id());
          if (state == null) {
            return;
          }
          observer.succeeded(state.request(), elapsedSinceOffer(state));
          suspects.aloneSucceeded(state, attempt.endpoint());
          leaveEndpoint(state);
        });
  }

  @Override
  public void cancelled(RoutedAttempt attempt) {
    loop.execute(
        () -> {
          ActiveRequest state = active.get(attempt.request().id());
          if (state != null) {
            leaveEndpoint(state);
          }
        });
  }

  @Override
  public Mono<Duration> failed(RoutedAttempt attempt, EndpointFault fault) {
    return loop.ask(sink -> fail(attempt, fault, sink));
  }

  @Override
  public void finished(OnlineRequest request) {
    loop.execute(() -> finish(request.id()));
  }

  /**
   * Starts or refuses waiting requests that are due, and runs the time-dependent work of the
   * suspect table. Call this method on the decision loop.
   */
  public void tick() {
    perform(policies.admission().onTick(clock.instant()));
    suspects.tick(clock.instant());
  }

  /** Refuses all new requests from now on. Call this method on the decision loop. */
  public void stop() {
    stopping = true;
  }

  /** Returns the number of active requests. Call this method on the decision loop. */
  public int inProgress() {
    return active.size();
  }

  private void offer(OnlineRequest request, MonoSink<Void> sink) {
    if (stopping) {
      sink.error(
          new RefusalException(
              Refusal.notRun(RefusalReason.STOPPING, "this instance is stopping")
                  .retryAfter(RETRY_AFTER)));
      return;
    }
    if (active.size() >= maxRequests) {
      sink.error(
          new RefusalException(
              Refusal.notRun(RefusalReason.LIMIT_EXCEEDED, "this instance has too many requests")
                  .retryAfter(RETRY_AFTER)));
      return;
    }
    Instant now = clock.instant();
    active.put(request.id(), new ActiveRequest(request, now));
    AdmissionDecision decision = policies.admission().offer(admissionRequest(request), now);
    if (decision instanceof AdmissionDecision.Admitted) {
      sink.success();
    } else if (decision instanceof AdmissionDecision.Refused refused) {
      refuseAdmission(request.id(), refused.refusal());
      sink.error(new RefusalException(refused.refusal()));
    } else {
      waiting.put(request.id(), sink);
      sink.onCancel(() -> loop.execute(() -> finish(request.id())));
    }
  }

  private static AdmissionRequest admissionRequest(OnlineRequest request) {
    return new AdmissionRequest(
        request.id(),
        request.service().name(),
        request.workspace().id(),
        request.service().requestClass(),
        request.deadline());
  }

  private void choose(OnlineRequest request, MonoSink<RoutedAttempt> sink) {
    ActiveRequest state = active.get(request.id());
    if (state == null) {
      sink.error(new RefusalException(noEndpoint("the request has ended")));
      return;
    }
    Instant now = clock.instant();
    Verdict verdict = suspects.judge(state, now);
    if (verdict instanceof Verdict.Refused refused) {
      refuse(state, refused.refusal(), sink);
    } else if (verdict instanceof Verdict.Wait wait) {
      waitForSuspect(state, wait, sink, now);
    } else if (verdict instanceof Verdict.Alone alone) {
      startAlone(state, alone.endpoint(), sink, now);
    } else {
      startRouted(state, sink, now);
    }
  }

  private void waitForSuspect(
      ActiveRequest state, Verdict.Wait wait, MonoSink<RoutedAttempt> sink, Instant now) {
    OnlineRequest request = state.request();
    if (now.plus(wait.delay()).isAfter(request.deadline())) {
      refuse(
          state,
          Refusal.notRun(
                  RefusalReason.DEADLINE_UNREACHABLE,
                  "a request like this one runs alone until after the deadline")
              .retryAfter(wait.delay()),
          sink);
      return;
    }
    loop.after(wait.delay(), () -> choose(request, sink));
  }

  private void startAlone(
      ActiveRequest state, EndpointId target, MonoSink<RoutedAttempt> sink, Instant now) {
    Endpoint endpoint = policies.endpoints().find(target).orElse(null);
    if (endpoint == null) {
      refuse(state, noEndpoint("the endpoint has gone"), sink);
      return;
    }
    suspects.aloneStarted(state, target, now);
    start(state, target, endpoint.address(), true, sink, now);
  }

  private void startRouted(ActiveRequest state, MonoSink<RoutedAttempt> sink, Instant now) {
    OnlineRequest request = state.request();
    RouteRequest routeRequest =
        new RouteRequest(
            request.id(),
            request.service().name(),
            request.workspace().id(),
            request.service().requestClass(),
            dataCentre,
            request.prefixHashes(),
            state.excluded(),
            request.promptTokens(),
            request.deadline());
    Either<Refusal, Route> route = policies.router().choose(routeRequest, now);
    if (route.isLeft() && shouldWaitForQuarantine(request, now)) {
      loop.after(QUARANTINE_POLL_INTERVAL, () -> choose(request, sink));
    } else if (route.isLeft()) {
      refuse(state, route.getLeft(), sink);
    } else {
      start(state, route.get().endpoint(), route.get().address(), false, sink, now);
    }
  }

  /**
   * Returns whether a request should wait because an endpoint of its service is quarantined and
   * will accept requests again once the suspect that runs alone there has ended.
   *
   * <p>After one of two engines has crashed, the requests that ran there run alone at the other
   * engine, one after another. Refusing all other requests during that time would turn the loss of
   * one engine into an outage.
   */
  private boolean shouldWaitForQuarantine(OnlineRequest request, Instant now) {
    boolean beforeDeadline = now.plus(QUARANTINE_POLL_INTERVAL).isBefore(request.deadline());
    return beforeDeadline
        && policies.endpoints().of(request.service().name()).stream()
            .anyMatch(
                endpoint -> endpoint.quarantined(now) && endpoint.state(now) == EndpointState.LIVE);
  }

  private void start(
      ActiveRequest state,
      EndpointId target,
      String address,
      boolean alone,
      MonoSink<RoutedAttempt> sink,
      Instant now) {
    OnlineRequest request = state.request();
    if (state.attempts() == 0) {
      policies.retries().onFirstAttempt(now);
    }
    state.startedAt(target, alone);
    policies.inFlight().onStarted(target, now);
    policies.prefixes().onRouted(target, request.prefixHashes(), now);
    observer.sent(request, target);
    Duration remaining = Duration.between(now, request.deadline());
    sink.success(new RoutedAttempt(request, target, address, state.attempts(), remaining));
  }

  private <T> void refuse(ActiveRequest state, Refusal refusal, MonoSink<T> sink) {
    Refusal answer = state.forAllAttempts(refusal);
    observer.refused(state.request(), answer);
    sink.error(new RefusalException(answer));
  }

  private void fail(RoutedAttempt attempt, EndpointFault fault, MonoSink<Duration> sink) {
    ActiveRequest state = active.get(attempt.request().id());
    if (state == null) {
      sink.error(new RefusalException(noEndpoint("the request has ended")));
      return;
    }
    if (fault != EndpointFault.BROKEN) {
      observe(attempt.endpoint(), observation(fault));
      afterFailure(state, attempt, fault, sink);
      return;
    }
    List<OnlineRequest> running = runningAt(attempt.endpoint());
    crashes
        .probe(attempt.endpoint(), attempt.address())
        .subscribe(crashed -> loop.execute(() -> afterProbe(attempt, running, crashed, sink)));
  }

  private void afterProbe(
      RoutedAttempt attempt,
      List<OnlineRequest> running,
      CrashDetector.Result result,
      MonoSink<Duration> sink) {
    ActiveRequest state = active.get(attempt.request().id());
    if (state == null) {
      sink.error(new RefusalException(noEndpoint("the request has ended")));
      return;
    }
    Instant now = clock.instant();
    EndpointId endpoint = attempt.endpoint();
    observe(endpoint, result.crashed() ? Observation.CRASH : Observation.FAILURE);
    if (result.crashed() && result.firstToSee()) {
      policies.prefixes().onLost(endpoint, now);
      suspects.endpointCrashed(endpoint, running, now);
    } else if (!result.crashed()) {
      suspects.aloneSucceeded(state, endpoint);
    }
    afterFailure(state, attempt, EndpointFault.BROKEN, sink);
  }

  private void afterFailure(
      ActiveRequest state, RoutedAttempt attempt, EndpointFault fault, MonoSink<Duration> sink) {
    Instant now = clock.instant();
    suspects.aloneEnded(state, attempt.endpoint());
    policies.inFlight().onFinished(attempt.endpoint(), now);
    state.failedAt(attempt.endpoint(), fault.mayHaveRun());
    FailedAttempt failed =
        new FailedAttempt(
            attempt.request().id(),
            attempt.number(),
            attempt.request().idempotent(),
            fault.mayHaveRun(),
            state.failed(),
            attempt.request().deadline(),
            state.forAllAttempts(refusal(fault)));
    Either<Refusal, Retry> next = policies.retries().onFailure(failed, now);
    if (next.isLeft()) {
      refuse(state, next.getLeft(), sink);
      return;
    }
    state.exclude(next.get().excluded());
    sink.success(next.get().delay());
  }

  private void finish(RequestId id) {
    waiting.remove(id);
    ActiveRequest state = active.remove(id);
    if (state == null) {
      return;
    }
    leaveEndpoint(state);
    state.ended();
    observer.finished(state.request());
    perform(policies.admission().onFinished(id, clock.instant()));
  }

  private void leaveEndpoint(ActiveRequest state) {
    EndpointId endpoint = state.endpoint();
    if (endpoint != null) {
      suspects.aloneEnded(state, endpoint);
      policies.inFlight().onFinished(endpoint, clock.instant());
      state.leftEndpoint();
    }
  }

  private void perform(List<Effect> decided) {
    List<Effect> others = new ArrayList<>();
    for (Effect effect : decided) {
      if (effect instanceof StartRequest start) {
        admitWaiting(waiting.remove(start.id()));
      } else if (effect instanceof RefuseRequest refuse) {
        refuseWaiting(refuse.id(), refuse.refusal());
      } else {
        others.add(effect);
      }
    }
    effects.perform(others);
  }

  private static void admitWaiting(@Nullable MonoSink<Void> sink) {
    if (sink != null) {
      sink.success();
    }
  }

  private void refuseWaiting(RequestId id, Refusal refusal) {
    MonoSink<Void> sink = waiting.remove(id);
    refuseAdmission(id, refusal);
    if (sink != null) {
      sink.error(new RefusalException(refusal));
    }
  }

  private void refuseAdmission(RequestId id, Refusal refusal) {
    ActiveRequest state = active.remove(id);
    if (state != null) {
      state.ended();
      observer.refused(state.request(), refusal);
      observer.finished(state.request());
    }
  }

  private void observe(EndpointId endpoint, Observation observation) {
    effects.perform(policies.endpoints().onObservation(endpoint, observation, clock.instant()));
  }

  private List<OnlineRequest> runningAt(EndpointId endpoint) {
    return active.values().stream()
        .filter(state -> endpoint.equals(state.endpoint()))
        .map(ActiveRequest::request)
        .toList();
  }

  private Duration elapsedSinceOffer(ActiveRequest state) {
    return Duration.between(state.offeredAt(), clock.instant());
  }

  private static Observation observation(EndpointFault fault) {
    return switch (fault) {
      case DECLINED -> Observation.LEAVING;
      case TIMED_OUT -> Observation.SILENT;
      default -> Observation.FAILURE;
    };
  }

  private static Refusal refusal(EndpointFault fault) {
    return switch (fault) {
      case NOT_SENT, DECLINED -> noEndpoint("no endpoint took the request");
      case TIMED_OUT ->
          Refusal.mayHaveRun(RefusalReason.TIMEOUT, "the endpoint gave no answer in time");
      default ->
          Refusal.mayHaveRun(
              RefusalReason.ENDPOINT_FAILED, "the endpoint failed after it had the request");
    };
  }

  private static Refusal noEndpoint(String detail) {
    return Refusal.notRun(RefusalReason.NO_ENDPOINT, detail).retryAfter(RETRY_AFTER);
  }
}
