package io.hawthornlb.app.partition;

import io.hawthornlb.app.dispatch.PlainCall;
import io.hawthornlb.app.dispatch.PlainDispatcher;
import io.hawthornlb.app.dispatch.PlainService;
import io.hawthornlb.app.dispatch.RefusalException;
import io.hawthornlb.app.entry.DecisionLoop;
import io.hawthornlb.app.entry.EffectSink;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.runonce.AnswerCaller;
import io.hawthornlb.core.runonce.RunOnceAnswer;
import io.hawthornlb.core.runonce.RunOnceAnswered;
import io.hawthornlb.core.runonce.RunOnceForwarder;
import io.hawthornlb.core.runonce.RunOnceKey;
import io.hawthornlb.core.runonce.RunOnceRequest;
import io.hawthornlb.core.runonce.ServiceCall;
import io.hawthornlb.core.suspect.Fingerprint;
import io.hawthornlb.net.endpoint.EndpointResponse;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Forwards calls that must run at most once to the holders of their keys. Calls that may be
 * repeated go directly to an endpoint.
 */
public final class RunOnceService implements PlainService {

  private final PlainService direct;
  private final RunOnceForwarder forwarder;
  private final EffectSink outward;
  private final DecisionLoop loop;
  private final InstantSource clock;
  private final Map<RequestId, MonoSink<EndpointResponse>> callers = new HashMap<>();

  /** Creates the service. */
  public RunOnceService(
      PlainService direct,
      RunOnceForwarder forwarder,
      EffectSink outward,
      DecisionLoop loop,
      InstantSource clock) {
    this.direct = direct;
    this.forwarder = forwarder;
    this.outward = outward;
    this.loop = loop;
    this.clock = clock;
  }

  @Override
  public Mono<EndpointResponse> call(PlainCall call) {
    if (PlainDispatcher.idempotent(call)) {
      return direct.call(call);
    }
    return loop.ask(sink -> submit(call, sink));
  }

  /** Handles the answer of a holder. Call this method on the decision loop. */
  public void onAnswer(RunOnceAnswered message) {
    perform(forwarder.answered(message, clock.instant()));
  }

  /**
   * Forwards requests whose holder changed and ends those past their deadline. Call this method on
   * the decision loop, several times a second.
   */
  public void tick() {
    perform(forwarder.tick(clock.instant()));
  }

  /** Returns the number of waiting callers. Call this method on the decision loop. */
  public int inProgress() {
    return callers.size();
  }

  private void submit(PlainCall call, MonoSink<EndpointResponse> sink) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    callers.put(id, sink);
    perform(forwarder.submit(id, request(call), clock.instant()));
  }

  private RunOnceRequest request(PlainCall call) {
    boolean generated = call.idempotencyKey().isEmpty();
    String key = call.idempotencyKey().orElseGet(() -> UUID.randomUUID().toString());
    Fingerprint fingerprint =
        Fingerprint.of(call.service().name() + " " + call.method() + " " + call.uri(), call.body());
    return new RunOnceRequest(
        new RunOnceKey(call.workspace().id(), key),
        generated,
        Long.toHexString(fingerprint.value()),
        call.service().name(),
        new ServiceCall(call.method(), call.uri(), call.headers(), ServiceBodies.text(call.body())),
        clock.instant().plus(call.service().deadline()),
        call.service().resultRetention());
  }

  private void perform(List<Effect> effects) {
    List<Effect> others = new ArrayList<>();
    for (Effect effect : effects) {
      if (effect instanceof AnswerCaller answer) {
        answer(callers.remove(answer.id()), answer.answer());
      } else {
        others.add(effect);
      }
    }
    outward.perform(others);
  }

  private static void answer(@Nullable MonoSink<EndpointResponse> sink, RunOnceAnswer answer) {
    if (sink == null) {
      return;
    }
    answer
        .result()
        .ifPresentOrElse(
            result -> sink.success(ServiceBodies.answer(result)),
            () -> sink.error(new RefusalException(answer.refusal().orElseThrow())));
  }
}
