package io.hawthornlb.core.policy;

import io.hawthornlb.core.admission.AdmissionDecision;
import io.hawthornlb.core.admission.AdmissionRequest;
import io.hawthornlb.core.effect.BroadcastPeerMessage;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.EndpointNotice;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.retry.FailedAttempt;
import io.hawthornlb.core.retry.Retry;
import io.hawthornlb.core.routing.Route;
import io.hawthornlb.core.routing.RouteRequest;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Generates the online requests of a simulation. They arrive at random entry instances, where their
 * latency is measured.
 */
final class OnlineLoad {

  private static final int PREFIXES = 30;
  private static final int PREFIX_TOKENS = 500;
  private static final int OWN_TOKENS = 150;
  private static final int MIN_OUTPUT = 40;
  private static final int MEAN_EXTRA = 60;
  private static final int MAX_OUTPUT = 400;
  private static final int WORKSPACES = 20;
  private static final double PLAIN_PER_SECOND = 50;
  private static final long CONNECT_TIMEOUT = 100_000;

  private final FleetRun run;
  private final Random random;
  private final double perSecondAtFullLoad;
  private int numbers;

  OnlineLoad(FleetRun run) {
    this.run = run;
    this.random = new Random(run.random.nextLong());
    EngineModel model = EngineModel.SMALL;
    double micros =
        (MIN_OUTPUT + MEAN_EXTRA) * model.microsPerToken() + OWN_TOKENS * model.prefillMicros();
    this.perSecondAtFullLoad = run.fleet.engines() * 1e6 / micros;
  }

  void begin() {
    nextEngineCall();
    nextPlainCall();
    if (run.scenario.bulkEverySeconds() > 0) {
      run.events.every(run.scenario.bulkEverySeconds() * 1_000_000L, this::bulkBurst);
    }
  }

  private void nextEngineCall() {
    double rate =
        perSecondAtFullLoad * run.scenario.load().applyAsDouble(run.events.micros() / 1e6);
    run.events.after(
        exponential(rate),
        () -> {
          arrive(RequestClass.INTERACTIVE, "w-" + random.nextInt(WORKSPACES), pick());
          nextEngineCall();
        });
  }

  private void nextPlainCall() {
    run.events.after(
        exponential(PLAIN_PER_SECOND),
        () -> {
          new Call(RequestClass.INTERACTIVE, "office", pick(), true).offer();
          nextPlainCall();
        });
  }

  private void bulkBurst() {
    SimEntry entry = pick();
    for (int i = 0; i < run.scenario.bulkBurstSize(); i++) {
      arrive(RequestClass.BULK, "buyer", i % 4 == 0 ? pick() : entry);
    }
  }

  private void arrive(RequestClass requestClass, String workspace, SimEntry entry) {
    new Call(requestClass, workspace, entry, false).offer();
  }

  private SimEntry pick() {
    return run.entries.get(random.nextInt(run.entries.size()));
  }

  private long exponential(double perSecond) {
    return (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e6);
  }

  /** One request of a caller, with all its attempts. */
  private final class Call implements FakeTask.Listener {

    private final RequestId id = new RequestId("r-" + numbers++);
    private final RequestClass requestClass;
    private final WorkspaceId workspace;
    private final SimEntry entry;
    private final boolean plain;
    private final ServiceName service;
    private final String prefix;
    private final int output;
    private final long begin = run.events.micros();
    private final Instant deadline;
    private final Set<EndpointId> failed = new HashSet<>();
    private int attempt = 1;
    private long firstAt;
    private EndpointId endpoint;

    Call(RequestClass requestClass, String workspace, SimEntry entry, boolean plain) {
      this.requestClass = requestClass;
      this.workspace = new WorkspaceId(workspace);
      this.entry = entry;
      this.plain = plain;
      this.service = new ServiceName(plain ? run.fleet.plainService() : run.fleet.engineService());
      double skew = random.nextDouble();
      this.prefix = "p-" + (int) (skew * skew * PREFIXES);
      int extra = (int) (-Math.log(1 - random.nextDouble()) * MEAN_EXTRA);
      this.output = plain ? 1 : Math.min(MAX_OUTPUT, MIN_OUTPUT + extra);
      int seconds = requestClass == RequestClass.BULK ? 120 : 30;
      this.deadline = run.events.now().plusSeconds(seconds);
    }

    void offer() {
      entry.retries.onFirstAttempt(run.events.now());
      AdmissionRequest request =
          new AdmissionRequest(id, service, workspace, requestClass, deadline);
      AdmissionDecision decision = entry.admission.offer(request, run.events.now());
      if (decision instanceof AdmissionDecision.Admitted) {
        dispatch();
      } else if (decision instanceof AdmissionDecision.Queued) {
        entry.queued.put(id, this::dispatch);
      } else {
        run.refused();
      }
    }

    private void dispatch() {
      RouteRequest request =
          new RouteRequest(
              id,
              service,
              workspace,
              requestClass,
              entry.dataCentre,
              plain ? List.of() : List.of(prefix),
              failed,
              PREFIX_TOKENS + OWN_TOKENS,
              deadline);
      Either<Refusal, Route> route = entry.router.choose(request, run.events.now());
      if (route.isLeft()) {
        run.refused();
        finish();
        return;
      }
      endpoint = route.get().endpoint();
      FakeEngine engine = run.engines.get(endpoint);
      entry.inFlight.onStarted(endpoint, run.events.now());
      if (!plain) {
        entry.prefixes.onRouted(endpoint, List.of(prefix), run.events.now());
      }
      run.online(entry, endpoint);
      if (run.cutOff(entry.dataCentre, engine.dataCentre)) {
        run.events.after(CONNECT_TIMEOUT, () -> fail(Observation.FAILURE));
        return;
      }
      FakeTask task =
          new FakeTask(
              id.value(),
              false,
              plain ? "" : prefix,
              plain ? 0 : PREFIX_TOKENS,
              plain ? 1 : PREFIX_TOKENS + OWN_TOKENS,
              output,
              this);
      run.events.after(latency(engine), () -> engine.submit(task));
    }

    @Override
    public void first() {
      firstAt = run.events.micros() + latency(run.engines.get(endpoint));
    }

    @Override
    public void done() {
      FakeEngine engine = run.engines.get(endpoint);
      run.events.after(
          latency(engine),
          () -> {
            if (run.cutOff(entry.dataCentre, engine.dataCentre)) {
              fail(Observation.SILENT);
              return;
            }
            spread(entry.table.onObservation(endpoint, Observation.SUCCESS, run.events.now()));
            measure();
            release();
            finish();
          });
    }

    @Override
    public void cancelled(int generated) {
      throw new IllegalStateException("online requests are not cancelled");
    }

    @Override
    public void crashed() {
      run.events.after(latency(run.engines.get(endpoint)), () -> fail(Observation.CRASH));
    }

    private void fail(Observation observation) {
      spread(entry.table.onObservation(endpoint, observation, run.events.now()));
      failed.add(endpoint);
      release();
      FailedAttempt failure =
          new FailedAttempt(
              id,
              attempt++,
              true,
              true,
              failed,
              deadline,
              Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "the endpoint failed"));
      Either<Refusal, Retry> next = entry.retries.onFailure(failure, run.events.now());
      if (next.isRight()) {
        run.events.after(next.get().delay().toMillis() * 1_000, this::dispatch);
        return;
      }
      run.result.onlineFailed += run.measured() ? 1 : 0;
      finish();
    }

    private void spread(List<Effect> effects) {
      for (Effect effect : effects) {
        if (effect instanceof BroadcastPeerMessage spreadEffect
            && spreadEffect.message() instanceof EndpointNotice notice) {
          run.toPeers(entry, peer -> peer.table.onNotice(notice, run.events.now()));
        }
      }
    }

    private void measure() {
      if (begin < 1_000_000L * Scenario.WARM_UP) {
        return;
      }
      if (plain) {
        run.result.plain(run.events.micros() - begin);
      } else if (requestClass == RequestClass.INTERACTIVE) {
        run.result.online(firstAt - begin, run.events.micros() - begin);
      } else {
        run.result.bulk(run.events.micros() - begin);
      }
    }

    private void release() {
      entry.inFlight.onFinished(endpoint, run.events.now());
      run.online(entry, endpoint);
    }

    private void finish() {
      run.admit(entry, entry.admission.onFinished(id, run.events.now()));
    }

    private long latency(FakeEngine engine) {
      return run.fleet.latency(entry.dataCentre, engine.dataCentre);
    }
  }
}
