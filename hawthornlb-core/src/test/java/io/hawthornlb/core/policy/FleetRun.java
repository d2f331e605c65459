package io.hawthornlb.core.policy;

import io.hawthornlb.core.admission.RefuseRequest;
import io.hawthornlb.core.admission.StartRequest;
import io.hawthornlb.core.batch.BatchDispatcher;
import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.batch.BatchOutcome;
import io.hawthornlb.core.batch.CancelItem;
import io.hawthornlb.core.batch.PullItems;
import io.hawthornlb.core.batch.ReturnItems;
import io.hawthornlb.core.batch.StartItem;
import io.hawthornlb.core.batch.support.RendezvousElection;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulates, in virtual time and from a seed, 13 entry instances that send requests to simulated
 * engines.
 */
final class FleetRun {

  private static final long REPORT_MICROS = 500_000;
  private static final long DIGEST_MICROS = 100_000;
  private static final long TICK_MICROS = 50_000;
  private static final long PULL_MICROS = 3_000;
  private static final long FAULT_SECONDS = 20;

  final EventQueue events = new EventQueue();
  final RunResult result = new RunResult();
  final Fleet fleet;
  final Scenario scenario;
  final PolicySet policy;
  final Random random;
  final List<SimEntry> entries = new ArrayList<>();
  final Map<EndpointId, FakeEngine> engines = new LinkedHashMap<>();
  final Map<EndpointId, SimEntry> dispatchers = new HashMap<>();
  private final Backlog backlog;

  private FleetRun(Fleet fleet, Scenario scenario, PolicySet policy, long seed) {
    this.fleet = fleet;
    this.scenario = scenario;
    this.policy = policy;
    this.random = new Random(seed);
    this.backlog = new Backlog(scenario, policy.baseline(), seed);
    addEngines(fleet.engineService(), fleet.engines(), EngineModel.SMALL);
    addEngines(fleet.plainService(), fleet.plainEndpoints(), EngineModel.PLAIN);
    for (int i = 0; i < Fleet.ENTRIES; i++) {
      InstanceId id = new InstanceId("entry-" + i);
      entries.add(new SimEntry(id, fleet.centre(i), policy, seed * 31 + i));
    }
  }

  static RunResult run(Fleet fleet, Scenario scenario, PolicySet policy, long seed) {
    FleetRun run = new FleetRun(fleet, scenario, policy, seed);
    run.begin();
    run.events.runUntil(1_000_000L * (Scenario.WARM_UP + scenario.seconds()));
    run.finish();
    return run.result;
  }

  boolean measured() {
    return events.micros() >= 1_000_000L * Scenario.WARM_UP;
  }

  boolean cutOff(DataCentre from, DataCentre to) {
    DataCentre isolated = fleet.centre(0);
    long cutStart = 1_000_000L * (Scenario.WARM_UP + scenario.cutAt());
    boolean cutNow =
        scenario.cutAt() > 0
            && events.micros() >= cutStart
            && events.micros() < cutStart + FAULT_SECONDS * 1_000_000L;
    return cutNow && from.equals(isolated) != to.equals(isolated);
  }

  void toPeers(SimEntry from, Consumer<SimEntry> action) {
    for (SimEntry to : entries) {
      if (to != from) {
        toPeer(from, to, action);
      }
    }
  }

  void toPeer(SimEntry from, SimEntry to, Consumer<SimEntry> action) {
    if (!cutOff(from.dataCentre, to.dataCentre)) {
      long latency = from == to ? 0 : fleet.latency(from.dataCentre, to.dataCentre);
      events.after(latency, () -> action.accept(to));
    }
  }

  private void addEngines(String service, int count, EngineModel model) {
    for (int i = 0; i < count; i++) {
      EndpointId id = new EndpointId(service + "-" + i);
      engines.put(
          id, new FakeEngine(id, new ServiceName(service), fleet.centre(i), model, events, result));
    }
  }

  private void begin() {
    Map<InstanceId, DataCentre> members = new HashMap<>();
    entries.forEach(entry -> members.put(entry.id, entry.dataCentre));
    List<ListedProcess> all = engines.values().stream().map(FleetRun::listed).toList();
    List<ListedProcess> listed = scenario.addAt() > 0 ? all.subList(1, all.size()) : all;
    for (SimEntry entry : entries) {
      entry.table.onList(listed, events.now(), events.now());
      entry.shares.onEntries(members, events.now());
      entry.admission.onCatalogue(fleet.catalogue());
      for (FakeEngine engine : engines.values()) {
        int slots = engine.model.slots() * count(engine.service);
        entry.admission.onCapacity(engine.service, slots, events.now());
      }
    }
    electDispatchers();
    events.every(REPORT_MICROS, this::report);
    events.every(DIGEST_MICROS, this::digest);
    events.every(TICK_MICROS, this::tick);
    events.after(1_000_000L * Scenario.WARM_UP, this::resetCosts);
    if (scenario.crashAt() > 0) {
      FakeEngine crashing = engines.values().iterator().next();
      long at = 1_000_000L * (Scenario.WARM_UP + scenario.crashAt());
      events.after(at, crashing::crash);
      events.after(at + FAULT_SECONDS * 1_000_000L, crashing::recover);
    }
    if (scenario.addAt() > 0) {
      long at = 1_000_000L * (Scenario.WARM_UP + scenario.addAt());
      events.after(at, () -> addEngine(all));
    }
    new OnlineLoad(this).begin();
  }

  private void addEngine(List<ListedProcess> all) {
    engines.values().iterator().next().recover();
    entries.forEach(entry -> entry.table.onList(all, events.now(), events.now()));
  }

  private void electDispatchers() {
    for (FakeEngine engine : engines.values()) {
      List<InstanceId> near = new ArrayList<>();
      for (SimEntry entry : entries) {
        if (entry.dataCentre.equals(engine.dataCentre)) {
          near.add(entry.id);
        }
      }
      InstanceId dispatcher = new RendezvousElection().dispatcher(engine.id, near).orElseThrow();
      SimEntry entry =
          entries.stream().filter(e -> e.id.equals(dispatcher)).findAny().orElseThrow();
      dispatchers.put(engine.id, entry);
      if (policy.batch() && engine.model == EngineModel.SMALL) {
        entry.addDispatcher(engine, fleet.batchWeight());
        perform(entry, engine, entry.dispatchers.get(engine.id).onTick(events.now()));
      }
    }
  }

  void online(SimEntry from, EndpointId endpoint) {
    SimEntry dispatcher = dispatchers.get(endpoint);
    int count = from.inFlight.own(endpoint);
    toPeer(
        from,
        dispatcher,
        to -> {
          BatchDispatcher target = to.dispatchers.get(endpoint);
          if (target != null) {
            perform(to, engines.get(endpoint), target.onOnline(from.id, count, events.now()));
          }
        });
  }

  void admit(SimEntry entry, List<Effect> effects) {
    for (Effect effect : effects) {
      if (effect instanceof StartRequest start) {
        Optional.ofNullable(entry.queued.remove(start.id())).ifPresent(Runnable::run);
      } else if (effect instanceof RefuseRequest refuse) {
        entry.queued.remove(refuse.id());
        refused();
      }
    }
  }

  void refused() {
    result.onlineRefused += measured() ? 1 : 0;
  }

  private void perform(SimEntry entry, FakeEngine engine, List<Effect> effects) {
    for (Effect effect : effects) {
      if (effect instanceof PullItems pull) {
        events.after(PULL_MICROS, () -> deliverItems(entry, engine, pull.count()));
      } else if (effect instanceof StartItem start) {
        long move = start.moveFrom().isPresent() ? 20_000 + 10L * start.item().contextTokens() : 0;
        if (move > 0) {
          String key = start.item().ref().toString();
          events.after(move, () -> engine.importCache(key, start.item().contextTokens()));
        }
        events.after(Fleet.NEAR_MICROS + move, () -> submit(entry, engine, start.item()));
      } else if (effect instanceof CancelItem cancel) {
        result.preempted++;
        String id = cancel.item().toString();
        events.after(Fleet.NEAR_MICROS, () -> engine.cancel(id));
      } else if (effect instanceof ReturnItems returned) {
        backlog.putBack(returned.items());
      }
    }
  }

  private void deliverItems(SimEntry entry, FakeEngine engine, int count) {
    List<BatchItem> items = backlog.take(count, events.now());
    perform(entry, engine, entry.dispatchers.get(engine.id).onItems(items, events.now()));
  }

  private void submit(SimEntry entry, FakeEngine engine, BatchItem item) {
    result.batchStarts++;
    BatchDispatcher dispatcher = entry.dispatchers.get(engine.id);
    FakeTask[] task = new FakeTask[1];
    FakeTask.Listener listener =
        new FakeTask.Listener() {
          @Override
          public void first() {
            int generated = task[0].generated;
            perform(entry, engine, dispatcher.onProgress(item.ref(), generated, events.now()));
          }

          @Override
          public void done() {
            backlog.done(item.ref());
            result.batchDone++;
            if (measured()) {
              result.batchWhileMeasured++;
              result.batchCostMicros += cost(item);
            }
            end(BatchOutcome.DONE, item.outputTokens());
          }

          @Override
          public void cancelled(int generated) {
            end(BatchOutcome.PREEMPTED, generated);
          }

          @Override
          public void crashed() {
            events.after(
                1_000_000,
                () -> {
                  end(BatchOutcome.ENDPOINT_FAILED, 0);
                  backlog.putBack(List.of(item));
                });
          }

          private void end(BatchOutcome outcome, int generated) {
            perform(
                entry, engine, dispatcher.onEnded(item.ref(), outcome, generated, events.now()));
          }
        };
    String prefix = "batch-" + item.ref().job();
    task[0] =
        new FakeTask(
            item.ref().toString(),
            true,
            prefix,
            Backlog.PREFIX_TOKENS,
            item.promptTokens(),
            item.outputTokens(),
            listener);
    task[0].generated = item.generated();
    if (engine.cancelledEarly(task[0].id)) {
      listener.cancelled(item.generated());
      return;
    }
    engine.submit(task[0]);
  }

  private void report() {
    for (FakeEngine engine : engines.values()) {
      if (!engine.down) {
        LoadReport report = engine.load();
        events.after(scenario.lagMicros(), () -> reported(engine, report));
      }
    }
  }

  private void reported(FakeEngine engine, LoadReport report) {
    SimEntry entry = dispatchers.get(engine.id);
    BatchDispatcher dispatcher = entry.dispatchers.get(engine.id);
    LoadReport fullReport = report;
    if (dispatcher != null) {
      fullReport = report.withBatch(dispatcher.batchAt(report.asOf()));
      perform(entry, engine, dispatcher.onLoad(report, events.now()));
    }
    LoadReport spreadReport = fullReport;
    entry.table.onLoad(engine.id, spreadReport, events.now());
    toPeers(entry, peer -> peer.table.onLoad(engine.id, spreadReport, events.now()));
  }

  private void digest() {
    for (SimEntry entry : entries) {
      entry
          .inFlight
          .digest(events.now())
          .ifPresent(d -> toPeers(entry, peer -> peer.inFlight.onDigest(d, events.now())));
      var demand = entry.shares.digest(events.now());
      toPeers(entry, peer -> peer.shares.onDigest(demand, events.now()));
    }
  }

  private void tick() {
    probe();
    for (SimEntry entry : entries) {
      entry.dispatchers.forEach(
          (id, dispatcher) -> perform(entry, engines.get(id), dispatcher.onTick(events.now())));
      admit(entry, entry.admission.onTick(events.now()));
    }
  }

  private void resetCosts() {
    engines.values().forEach(engine -> engine.onlineCostMicros = 0);
  }

  private void finish() {
    result.seconds = scenario.seconds();
    result.dueLate = backlog.dueLeft();
    double left = 0;
    for (FakeEngine engine : engines.values()) {
      if (engine.model == EngineModel.SMALL) {
        left += scenario.seconds() * 1e6 - engine.onlineCostMicros;
      }
    }
    if (scenario.crashAt() > 0) {
      left -= FAULT_SECONDS * 1e6;
    }
    result.boundCostMicros = left;
  }

  private static double cost(BatchItem item) {
    EngineModel model = EngineModel.SMALL;
    return item.outputTokens() * model.microsPerToken()
        + Backlog.OWN_TOKENS * model.prefillMicros();
  }

  private void probe() {
    for (SimEntry entry : entries) {
      for (Endpoint endpoint : entry.table.probesDue(events.now())) {
        boolean reachable =
            !engines.get(endpoint.id()).down && !cutOff(entry.dataCentre, endpoint.dataCentre());
        entry.table.onObservation(
            endpoint.id(), reachable ? Observation.HEALTHY : Observation.FAILURE, events.now());
      }
    }
  }

  private int count(ServiceName service) {
    return (int) engines.values().stream().filter(e -> e.service.equals(service)).count();
  }

  private static ListedProcess listed(FakeEngine engine) {
    return new ListedProcess(
        engine.id.value(),
        ListedKind.ENDPOINT,
        Optional.of(engine.service),
        engine.dataCentre,
        "127.0.0.1:1",
        ListedState.LIVE);
  }
}
