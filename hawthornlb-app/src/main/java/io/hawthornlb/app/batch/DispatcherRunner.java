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

/** Performs the effects of the batch dispatcher of one endpoint. Used on the decision loop. */
final class DispatcherRunner {

  private final EndpointId endpoint;
  private final String address;
  private final BatchDispatcher dispatcher;
  private final EndpointClient endpoints;
  private final ObjectMapper mapper;
  private final Executor loop;
  private final InstantSource clock;
  private final ItemReporter reports;
  private final BatchSuspectTracker suspects;
  private final Consumer<PullItems> pulls;
  private final Map<ItemRef, LoadedItem> inProgress = new HashMap<>();
  private final Map<ItemRef, ItemExecution> running = new HashMap<>();

  DispatcherRunner(
      EndpointId endpoint,
      String address,
      BatchDispatcher dispatcher,
      EndpointClient endpoints,
      ObjectMapper mapper,
      Executor loop,
      InstantSource clock,
      ItemReporter reports,
      BatchSuspectTracker suspects,
      Consumer<PullItems> pulls) {
    this.endpoint = endpoint;
    this.address = address;
    this.dispatcher = dispatcher;
    this.endpoints = endpoints;
    this.mapper = mapper;
    this.loop = loop;
    this.clock = clock;
    this.reports = reports;
    this.suspects = suspects;
    this.pulls = pulls;
  }

  void onItems(List<LoadedItem> arrived) {
    List<BatchItem> added = new ArrayList<>();
    for (LoadedItem loaded : arrived) {
      reports.assignedAgain(loaded.key());
      if (inProgress.putIfAbsent(loaded.batch().ref(), loaded) == null) {
        added.add(loaded.batch());
      }
    }
    perform(dispatcher.onItems(added, clock.instant()));
  }

  void onOnline(InstanceId entry, int inFlight) {
    perform(dispatcher.onOnline(entry, inFlight, clock.instant()));
  }

  void onLoad(LoadReport report) {
    perform(dispatcher.onLoad(report, clock.instant()));
  }

  /** Returns the number of batch items that the endpoint executed at a time. */
  int batchAt(Instant time) {
    return dispatcher.batchAt(time);
  }

  void tick() {
    perform(dispatcher.onTick(clock.instant()));
  }

  void stop() {
    perform(dispatcher.onStop(clock.instant()));
  }

  Set<ItemRef> inProgress() {
    return inProgress.keySet();
  }

  /** Cancels an item whose job was cancelled. */
  void cancel(ItemRef ref) {
    ItemExecution execution = running.remove(ref);
    if (execution != null) {
      execution.cancel();
    }
    if (inProgress.remove(ref) != null) {
      perform(dispatcher.onEnded(ref, BatchOutcome.CANCELLED, 0, clock.instant()));
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
      } else if (effect instanceof ReturnItems returned) {
        returned.items().forEach(this::returnToHolder);
      } else {
        throw new IllegalArgumentException("unsupported effect " + effect);
      }
    }
  }

  private void start(StartItem start) {
    ItemRef ref = start.item().ref();
    LoadedItem loaded = inProgress.get(ref);
    if (loaded == null) {
      loop.execute(
          () -> perform(dispatcher.onEnded(ref, BatchOutcome.CANCELLED, 0, clock.instant())));
      return;
    }
    Verdict verdict = suspects.judge(loaded.fingerprint(), endpoint);
    if (verdict instanceof Verdict.Refused refused) {
      endLater(ref, FailureKind.PERMANENT, refused.refusal().detail());
    } else if (verdict instanceof Verdict.Clear) {
      startExecution(ref, loaded, start.item().keptAt().filter(endpoint::equals).isPresent());
    } else if (verdict instanceof Verdict.Alone alone && alone.endpoint().equals(endpoint)) {
      suspects.startedAlone(loaded.fingerprint(), endpoint);
      startExecution(ref, loaded, false);
    } else {
      endLater(ref, FailureKind.NOT_RUN, "the item runs alone elsewhere");
    }
  }

  private void startExecution(ItemRef ref, LoadedItem loaded, boolean resume) {
    running.put(
        ref, new ItemExecution(endpoints, mapper, address, loaded, resume, new Listener(ref)));
  }

  private void endLater(ItemRef ref, FailureKind kind, String cause) {
    loop.execute(() -> end(ref, kind, cause));
  }

  private void preempt(ItemRef ref) {
    ItemExecution execution = running.remove(ref);
    if (execution == null) {
      return;
    }
    execution.cancel();
    LoadedItem loaded = inProgress.get(ref);
    if (loaded != null) {
      suspects.aloneEnded(loaded.fingerprint(), endpoint);
    }
    int kept = execution.tokens();
    loop.execute(
        () -> perform(dispatcher.onEnded(ref, BatchOutcome.PREEMPTED, kept, clock.instant())));
  }

  private void returnToHolder(BatchItem item) {
    LoadedItem loaded = inProgress.remove(item.ref());
    if (loaded != null) {
      reports.failed(loaded, FailureKind.NOT_RUN, "handed back");
    }
  }

  private void done(ItemRef ref, String result, int tokens) {
    running.remove(ref);
    LoadedItem loaded = inProgress.remove(ref);
    if (loaded != null) {
      suspects.aloneSucceeded(loaded.fingerprint(), endpoint);
      reports.finished(loaded, result);
    }
    perform(dispatcher.onEnded(ref, BatchOutcome.DONE, tokens, clock.instant()));
  }

  private void failed(ItemRef ref, Throwable error) {
    if (running.remove(ref) == null) {
      return;
    }
    EndpointFault fault =
        error instanceof EndpointCallException call ? call.fault() : EndpointFault.UNREADABLE;
    if (fault == EndpointFault.BROKEN) {
      List<LoadedItem> others = running.keySet().stream().map(inProgress::get).toList();
      suspects.connectionBroken(endpoint, address, inProgress.get(ref), others);
    } else if (inProgress.containsKey(ref)) {
      suspects.aloneEnded(inProgress.get(ref).fingerprint(), endpoint);
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
    LoadedItem loaded = inProgress.remove(ref);
    if (loaded != null) {
      reports.failed(loaded, kind, cause);
    }
    BatchOutcome outcome =
        kind == FailureKind.PERMANENT ? BatchOutcome.DONE : BatchOutcome.ENDPOINT_FAILED;
    perform(dispatcher.onEnded(ref, outcome, 0, clock.instant()));
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
              perform(dispatcher.onProgress(ref, tokens, clock.instant()));
            }
          });
    }

    @Override
    public void done(String result, int tokens) {
      loop.execute(() -> DispatcherRunner.this.done(ref, result, tokens));
    }

    @Override
    public void failed(Throwable error) {
      loop.execute(() -> DispatcherRunner.this.failed(ref, error));
    }
  }
}
