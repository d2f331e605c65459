package io.hawthornlb.app.batch;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.core.batch.BatchDispatcher;
import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.batch.BatchOutcome;
import io.hawthornlb.core.batch.CancelItem;
import io.hawthornlb.core.batch.ItemRef;
import io.hawthornlb.core.batch.PullItems;
import io.hawthornlb.core.batch.ReturnItems;
import io.hawthornlb.core.batch.StartItem;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.job.FailureKind;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.suspect.Verdict;
import io.hawthornlb.net.endpoint.EndpointCallException;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.EndpointFault;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Carries out what the steward of one endpoint decides; used on the loop. */
final class StewardHost {

  private final EndpointId endpoint;
  private final String address;
  private final BatchDispatcher steward;
  private final EndpointClient endpoints;
  private final ObjectMapper mapper;
  private final Executor loop;
  private final InstantSource clock;
  private final ReportDesk reports;
  private final SuspectGate suspects;
  private final Consumer<PullItems> pulls;
  private final Map<ItemRef, ItemWork> works = new HashMap<>();
  private final Map<ItemRef, ItemExecution> running = new HashMap<>();

  StewardHost(
      EndpointId endpoint,
      String address,
      BatchDispatcher steward,
      EndpointClient endpoints,
      ObjectMapper mapper,
      Executor loop,
      InstantSource clock,
      ReportDesk reports,
      SuspectGate suspects,
      Consumer<PullItems> pulls) {
    this.endpoint = endpoint;
    this.address = address;
    this.steward = steward;
    this.endpoints = endpoints;
    this.mapper = mapper;
    this.loop = loop;
    this.clock = clock;
    this.reports = reports;
    this.suspects = suspects;
    this.pulls = pulls;
  }

  void items(List<ItemWork> arrived) {
    List<BatchItem> fresh = new ArrayList<>();
    for (ItemWork work : arrived) {
      if (works.putIfAbsent(work.batch().ref(), work) == null) {
        fresh.add(work.batch());
      }
    }
    perform(steward.onItems(fresh, clock.instant()));
  }

  void online(InstanceId entry, int inFlight) {
    perform(steward.onOnline(entry, inFlight, clock.instant()));
  }

  void load(LoadReport report) {
    perform(steward.onLoad(report, clock.instant()));
  }

  /** Returns how many batch items the endpoint executed at a time. */
  int batchAt(Instant time) {
    return steward.batchAt(time);
  }

  void tick() {
    perform(steward.onTick(clock.instant()));
  }

  void stop() {
    perform(steward.onStop(clock.instant()));
  }

  Set<ItemRef> inProgress() {
    return works.keySet();
  }

  /** Ends an item whose job was cancelled. */
  void cancelled(ItemRef ref) {
    ItemExecution execution = running.remove(ref);
    if (execution != null) {
      execution.cancel();
    }
    if (works.remove(ref) != null) {
      perform(steward.onEnded(ref, BatchOutcome.CANCELLED, 0, clock.instant()));
    }
  }

  private void perform(List<Effect> effects) {
    for (Effect effect : effects) {
      if (effect instanceof StartItem start) {
        start(start);
      } else if (effect instanceof CancelItem cancel) {
        preempt(cancel.item());
      } else if (effect instanceof PullItems pull) {
        pulls.accept(pull);
      } else if (effect instanceof ReturnItems back) {
        back.items().forEach(this::giveBack);
      } else {
        throw new IllegalArgumentException("no adapter carries out " + effect + "; add one");
      }
    }
  }

  private void start(StartItem start) {
    ItemRef ref = start.item().ref();
    ItemWork work = works.get(ref);
    if (work == null) {
      loop.execute(() -> perform(steward.onEnded(ref, BatchOutcome.CANCELLED, 0, clock.instant())));
      return;
    }
    Verdict verdict = suspects.judge(work.fingerprint(), endpoint);
    if (verdict instanceof Verdict.Refused refused) {
      later(ref, FailureKind.PERMANENT, refused.refusal().detail());
    } else if (verdict instanceof Verdict.Clear) {
      execute(ref, work, start.item().keptAt().filter(endpoint::equals).isPresent());
    } else if (verdict instanceof Verdict.Alone alone && alone.endpoint().equals(endpoint)) {
      suspects.startedAlone(work.fingerprint(), endpoint);
      execute(ref, work, false);
    } else {
      later(ref, FailureKind.NOT_RUN, "the item runs alone elsewhere");
    }
  }

  private void execute(ItemRef ref, ItemWork work, boolean resume) {
    running.put(
        ref, new ItemExecution(endpoints, mapper, address, work, resume, new Listener(ref)));
  }

  private void later(ItemRef ref, FailureKind kind, String cause) {
    loop.execute(() -> end(ref, kind, cause));
  }

  private void preempt(ItemRef ref) {
    ItemExecution execution = running.remove(ref);
    if (execution == null) {
      return;
    }
    execution.cancel();
    ItemWork work = works.get(ref);
    if (work != null) {
      suspects.left(work.fingerprint(), endpoint);
    }
    int kept = execution.tokens();
    loop.execute(
        () -> perform(steward.onEnded(ref, BatchOutcome.PREEMPTED, kept, clock.instant())));
  }

  private void giveBack(BatchItem item) {
    ItemWork work = works.remove(item.ref());
    if (work != null) {
      reports.failed(work, FailureKind.NOT_RUN, "handed back");
    }
  }

  private void done(ItemRef ref, String result, int tokens) {
    running.remove(ref);
    ItemWork work = works.remove(ref);
    if (work != null) {
      suspects.succeeded(work.fingerprint(), endpoint);
      reports.finished(work, result);
    }
    perform(steward.onEnded(ref, BatchOutcome.DONE, tokens, clock.instant()));
  }

  private void failed(ItemRef ref, Throwable error) {
    if (running.remove(ref) == null) {
      return;
    }
    EndpointFault fault =
        error instanceof EndpointCallException call ? call.fault() : EndpointFault.UNREADABLE;
    if (fault == EndpointFault.BROKEN) {
      List<ItemWork> beside = running.keySet().stream().map(works::get).toList();
      suspects.broken(endpoint, address, works.get(ref), beside);
    } else if (works.containsKey(ref)) {
      suspects.left(works.get(ref).fingerprint(), endpoint);
    }
    FailureKind kind =
        switch (fault) {
          case NOT_SENT, DECLINED -> FailureKind.NOT_RUN;
          case UNREADABLE -> FailureKind.PERMANENT;
          default -> FailureKind.TRANSIENT;
        };
    end(ref, kind, "the endpoint failed: " + fault);
  }

  private void end(ItemRef ref, FailureKind kind, String cause) {
    ItemWork work = works.remove(ref);
    if (work != null) {
      reports.failed(work, kind, cause);
    }
    BatchOutcome outcome =
        kind == FailureKind.PERMANENT ? BatchOutcome.DONE : BatchOutcome.ENDPOINT_FAILED;
    perform(steward.onEnded(ref, outcome, 0, clock.instant()));
  }

  private final class Listener implements ItemListener {

    private final ItemRef ref;

    private Listener(ItemRef ref) {
      this.ref = ref;
    }

    @Override
    public void progressed(int tokens) {
      loop.execute(
          () -> {
            if (running.containsKey(ref)) {
              perform(steward.onProgress(ref, tokens, clock.instant()));
            }
          });
    }

    @Override
    public void done(String result, int tokens) {
      loop.execute(() -> StewardHost.this.done(ref, result, tokens));
    }

    @Override
    public void failed(Throwable error) {
      loop.execute(() -> StewardHost.this.failed(ref, error));
    }
  }
}
