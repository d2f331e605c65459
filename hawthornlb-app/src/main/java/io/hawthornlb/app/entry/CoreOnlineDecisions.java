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

/** Asks the deciders on the decision loop and turns their effects into answers. */
public final class CoreOnlineDecisions implements OnlineDecisions {

  private static final Duration COME_BACK = Duration.ofSeconds(1);
  private static final Duration QUARANTINE_PAUSE = Duration.ofMillis(20);

  private final DecisionLoop loop;
  private final OnlinePolicies policies;
  private final CrashDetector crashes;
  private final EffectSink effects;
  private final SuspectRuns suspects;
  private final RequestObserver observer;
  private final DataCentre dataCentre;
  private final int mostRequests;
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
      int mostRequests,
      InstantSource clock) {
    this.loop = loop;
    this.policies = policies;
    this.crashes = crashes;
    this.effects = effects;
    this.suspects = new SuspectRuns(policies, effects, clock);
    this.observer = observer;
    this.dataCentre = dataCentre;
    this.mostRequests = mostRequests;
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
            observer.firstAnswer(state.request(), since(state));
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
          observer.succeeded(state.request(), since(state));
          suspects.succeeded(state, attempt.endpoint());
          leave(state);
        });
  }

  @Override
  public void cancelled(RoutedAttempt attempt) {
    loop.execute(
        () -> {
          ActiveRequest state = active.get(attempt.request().id());
          if (state != null) {
            leave(state);
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

  /** Lets requests that wait start or refuses them, as time calls for; on the loop. */
  public void tick() {
    perform(policies.admission().onTick(clock.instant()));
    suspects.tick(clock.instant());
  }

  /** Refuses every new request from now on; on the loop. */
  public void stop() {
    stopping = true;
  }

  /** Returns how many requests this instance has; on the loop. */
  public int inProgress() {
    return active.size();
  }

  private void offer(OnlineRequest request, MonoSink<Void> sink) {
    if (stopping) {
      sink.error(
          new RefusalException(
              Refusal.notRun(RefusalReason.STOPPING, "this instance is stopping")
                  .retryAfter(COME_BACK)));
      return;
    }
    if (active.size() >= mostRequests) {
      sink.error(
          new RefusalException(
              Refusal.notRun(RefusalReason.LIMIT_EXCEEDED, "this instance has too many requests")
                  .retryAfter(COME_BACK)));
      return;
    }
    Instant now = clock.instant();
    active.put(request.id(), new ActiveRequest(request, now));
    AdmissionDecision decision = policies.admission().offer(admissionRequest(request), now);
    if (decision instanceof AdmissionDecision.Admitted) {
      sink.success();
    } else if (decision instanceof AdmissionDecision.Refused refused) {
      forget(request.id(), refused.refusal());
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
    suspects.started(state, target, now);
    start(state, target, endpoint.address(), true, sink, now);
  }

  private void startRouted(ActiveRequest state, MonoSink<RoutedAttempt> sink, Instant now) {
    OnlineRequest request = state.request();
    RouteRequest asked =
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
    Either<Refusal, Route> route = policies.router().choose(asked, now);
    if (route.isLeft() && waitsForQuarantine(request, now)) {
      loop.after(QUARANTINE_PAUSE, () -> choose(request, sink));
    } else if (route.isLeft()) {
      refuse(state, route.getLeft(), sink);
    } else {
      start(state, route.get().endpoint(), route.get().address(), false, sink, now);
    }
  }

  /**
   * Returns whether an endpoint will be open again once a suspect that runs alone there has ended.
   *
   * <p>After one of two engines has died, what ran there runs alone at the other, one after
   * another. Refusing everybody else meanwhile would turn the loss of one engine into an outage.
   */
  private boolean waitsForQuarantine(OnlineRequest request, Instant now) {
    boolean inTime = now.plus(QUARANTINE_PAUSE).isBefore(request.deadline());
    return inTime
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
    Refusal answer = state.truthful(refusal);
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
      suspects.crashed(endpoint, running, now);
    } else if (!result.crashed()) {
      suspects.succeeded(state, endpoint);
    }
    afterFailure(state, attempt, EndpointFault.BROKEN, sink);
  }

  private void afterFailure(
      ActiveRequest state, RoutedAttempt attempt, EndpointFault fault, MonoSink<Duration> sink) {
    Instant now = clock.instant();
    suspects.left(state, attempt.endpoint());
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
            state.truthful(refusal(fault)));
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
    leave(state);
    state.ended();
    observer.finished(state.request());
    perform(policies.admission().onFinished(id, clock.instant()));
  }

  private void leave(ActiveRequest state) {
    EndpointId endpoint = state.endpoint();
    if (endpoint != null) {
      suspects.left(state, endpoint);
      policies.inFlight().onFinished(endpoint, clock.instant());
      state.leftEndpoint();
    }
  }

  private void perform(List<Effect> decided) {
    List<Effect> outside = new ArrayList<>();
    for (Effect effect : decided) {
      if (effect instanceof StartRequest start) {
        succeed(waiting.remove(start.id()));
      } else if (effect instanceof RefuseRequest refuse) {
        forgetWaiting(refuse.id(), refuse.refusal());
      } else {
        outside.add(effect);
      }
    }
    effects.perform(outside);
  }

  private static void succeed(@Nullable MonoSink<Void> sink) {
    if (sink != null) {
      sink.success();
    }
  }

  private void forgetWaiting(RequestId id, Refusal refusal) {
    MonoSink<Void> sink = waiting.remove(id);
    forget(id, refusal);
    if (sink != null) {
      sink.error(new RefusalException(refusal));
    }
  }

  private void forget(RequestId id, Refusal refusal) {
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

  private Duration since(ActiveRequest state) {
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
    return Refusal.notRun(RefusalReason.NO_ENDPOINT, detail).retryAfter(COME_BACK);
  }
}
