package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.runonce.AttemptId;
import io.hawthornlb.core.runonce.CallAnswered;
import io.hawthornlb.core.runonce.CallFailed;
import io.hawthornlb.core.runonce.CallNotStarted;
import io.hawthornlb.core.runonce.EntriesStored;
import io.hawthornlb.core.runonce.EntryMark;
import io.hawthornlb.core.runonce.EntryState;
import io.hawthornlb.core.runonce.ForwardRunOnce;
import io.hawthornlb.core.runonce.KeyState;
import io.hawthornlb.core.runonce.RunCall;
import io.hawthornlb.core.runonce.RunOnceAnswer;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceKey;
import io.hawthornlb.core.runonce.RunOnceRequest;
import io.hawthornlb.core.runonce.RunOnceSettings;
import io.hawthornlb.core.runonce.StopPoint;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The attempts of a holder, from the request until the outcome is in the log. */
final class Runs {

  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(50);
  private static final Duration REPLICA_ACK_TIMEOUT = Duration.ofMillis(20);
  private static final int RESEND_BATCH = 200;

  private final PartitionId partition;
  private final RunOnceFold fold;
  private final EntryLog log;
  private final OutcomeReader reader;
  private final RunOnceSettings settings;
  private final Map<RunOnceKey, Run> runs = new LinkedHashMap<>();
  private final LateOutcomes late;
  private long nextSequence;
  private int waiters;
  private long resultBytes;
  private boolean replicasRespond = true;
  private Instant sweptAt = Instant.EPOCH;

  Runs(
      PartitionId partition,
      RunOnceFold fold,
      EntryLog log,
      OutcomeReader reader,
      RunOnceSettings settings) {
    this.partition = partition;
    this.fold = fold;
    this.log = log;
    this.reader = reader;
    this.settings = settings;
    this.late = new LateOutcomes(partition);
  }

  boolean empty() {
    return runs.isEmpty() && late.isEmpty();
  }

  OutcomeReader reader() {
    return reader;
  }

  /**
   * Returns how long entries wait to be grouped in the log: longer while replicas make them durable
   * first.
   */
  Duration logDelay(ReplicaClient client) {
    return client.usable() && replicasRespond
        ? settings.replicatedGroupDelay()
        : settings.groupDelay();
  }

  /** Handles a request of a partition whose earlier epochs are recovered. */
  void take(ForwardRunOnce message, HolderTenure tenure, Instant now, List<Effect> out) {
    Waiter waiter = Waiter.of(message);
    Run run = runs.get(message.request().key());
    if (run != null && !ended(run, EntryState.ABANDONED)) {
      join(run, waiter, message.request(), out);
      return;
    }
    Optional<KeyState> known = run == null ? fold.key(message.request().key()) : Optional.empty();
    if (known.isPresent() && known.get().state() != EntryState.ABANDONED) {
      replay(known.get(), waiter, message.request(), out);
    } else if (full()) {
      out.add(waiter.stopped(StopPoint.HOLDER_FULL));
    } else if (waiter.expired(now)) {
      out.add(waiter.stopped(StopPoint.INTENT_NOT_DURABLE));
    } else if (known.isEmpty() && run == null && mayHaveRun(waiter, tenure, now)) {
      out.add(waiter.stopped(StopPoint.WITNESSES_LOST));
    } else {
      start(message.request(), waiter, tenure, now, out);
    }
  }

  /** Handles the reply of a replica that keeps entries. */
  void stored(EntriesStored answer, ReplicaClient client, Instant now, List<Effect> out) {
    for (EntryMark mark : answer.stored()) {
      Run run = runs.get(mark.key());
      boolean current = run != null && EntryMark.of(run.entry()).equals(mark);
      if (current && client.isReplica(answer.witness())) {
        run.acks().add(answer.witness());
        if (client.stored(run)) {
          replicasRespond = true;
          onDurable(run, client, now, out);
        }
      }
    }
  }

  /** Handles entries that are now in the log. */
  void logged(List<RunOnceEntry> entries, ReplicaClient client, Instant now, List<Effect> out) {
    List<RunOnceEntry> ended = new ArrayList<>();
    for (RunOnceEntry entry : entries) {
      Run run = runs.get(entry.key());
      if (run != null && run.entry().equals(entry)) {
        onDurable(run, client, now, out);
        if (run.phase() == Run.Phase.ENDED) {
          remove(run);
          ended.add(entry);
        }
      }
    }
    client.forget(ended, out);
  }

  void answered(
      CallAnswered answer, @Nullable ReplicaClient client, Instant now, List<Effect> out) {
    Run run = running(answer.key(), answer.attempt());
    if (run != null) {
      end(run, run.entry().completed(answer.result()), client, now, out);
    }
  }

  void notStarted(
      CallNotStarted answer, @Nullable ReplicaClient client, Instant now, List<Effect> out) {
    Run run = running(answer.key(), answer.attempt());
    if (run == null) {
      return;
    }
    RunOnceAnswer refused = RunOnceAnswer.notDispatched(answer.reason());
    run.waiters().forEach(waiter -> out.add(waiter.answer(refused)));
    run.waiters().clear();
    end(run, run.entry().ended(EntryState.ABANDONED, "not dispatched"), client, now, out);
  }

  void failed(CallFailed failure, @Nullable ReplicaClient client, Instant now, List<Effect> out) {
    Run run = running(failure.key(), failure.attempt());
    if (run != null) {
      end(run, run.entry().ended(EntryState.UNKNOWN, failure.cause()), client, now, out);
    }
  }

  /**
   * Ends the tenure. Attempts that were not dispatched are dropped and never will be dispatched;
   * running calls are still awaited.
   */
  void endTenure(List<Effect> out) {
    for (Run run : List.copyOf(runs.values())) {
      if (run.phase() == Run.Phase.STORING) {
        run.redirectAll(out);
        remove(run);
      } else if (run.phase() == Run.Phase.ENDED) {
        run.answerAll(out);
        late.add(run.entry());
        remove(run);
      }
    }
    recountWaiters();
  }

  /** Sends outcomes that arrived after the end of the tenure to the current holder. */
  void sendLate(@Nullable PartitionOpened opened, Instant now, List<Effect> out) {
    late.send(opened, now, out);
  }

  void sweep(@Nullable ReplicaClient client, Instant now, List<Effect> out) {
    if (sweptAt.plus(SWEEP_INTERVAL).isAfter(now)) {
      return;
    }
    sweptAt = now;
    reader.stopExpired(now, out);
    for (Run run : List.copyOf(runs.values())) {
      sweep(run, client, now, out);
    }
    recountWaiters();
    if (client != null) {
      client.resend(toResend(client, now), now, out);
    }
  }

  private void sweep(Run run, @Nullable ReplicaClient client, Instant now, List<Effect> out) {
    if (run.phase() == Run.Phase.ENDED) {
      boolean held = run.endedAt().plus(settings.outcomeHold()).isAfter(now);
      if (!held) {
        run.answerAll(out);
      }
      return;
    }
    run.stopExpired(now, out);
    if (run.phase() == Run.Phase.STORING) {
      sweepStoring(run, client, now, out);
    }
  }

  private void sweepStoring(
      Run run, @Nullable ReplicaClient client, Instant now, List<Effect> out) {
    if (run.createdAt().plus(REPLICA_ACK_TIMEOUT).isBefore(now)) {
      replicasRespond = false;
    }
    boolean timedOut = !run.createdAt().plus(settings.durabilityTimeout()).isAfter(now);
    if (timedOut) {
      run.stopAll(StopPoint.INTENT_NOT_DURABLE, out);
    }
    if (run.waiters().isEmpty()) {
      end(run, run.entry().ended(EntryState.ABANDONED, "not durable"), client, now, out);
    }
  }

  private List<Run> toResend(ReplicaClient client, Instant now) {
    return runs.values().stream()
        .filter(run -> run.phase() != Run.Phase.RUNNING && run.isReplicationRequested())
        .filter(run -> !client.stored(run))
        .filter(run -> !run.sentAt().plus(settings.resendInterval()).isAfter(now))
        .limit(RESEND_BATCH)
        .toList();
  }

  private void join(Run run, Waiter waiter, RunOnceRequest request, List<Effect> out) {
    if (!run.request().fingerprint().equals(request.fingerprint())) {
      boolean durable = run.phase() != Run.Phase.STORING;
      StopPoint conflict =
          durable ? StopPoint.CONTENT_CONFLICT : StopPoint.CONTENT_CONFLICT_PENDING;
      out.add(waiter.stopped(conflict));
    } else if (ended(run, EntryState.UNKNOWN)) {
      out.add(waiter.stopped(StopPoint.ENDPOINT_FAILED));
    } else if (waiters >= settings.maxWaiters()) {
      out.add(waiter.stopped(StopPoint.HOLDER_FULL));
    } else {
      run.waiters().add(waiter);
      waiters++;
    }
  }

  private void replay(KeyState known, Waiter waiter, RunOnceRequest request, List<Effect> out) {
    if (!fold.sameContent(known, request.fingerprint())) {
      out.add(waiter.stopped(StopPoint.CONTENT_CONFLICT));
    } else if (known.state() == EntryState.INTENT) {
      out.add(waiter.stopped(StopPoint.OUTCOME_UNKNOWN));
    } else if (known.state() == EntryState.UNKNOWN) {
      out.add(waiter.stopped(StopPoint.ENDPOINT_FAILED));
    } else if (reader.size() >= settings.maxWaiters()) {
      out.add(waiter.stopped(StopPoint.RESULT_UNREADABLE));
    } else {
      reader.read(waiter, request.key(), known, out);
    }
  }

  private static boolean mayHaveRun(Waiter waiter, HolderTenure tenure, Instant now) {
    return !waiter.firstSend() && tenure.unknownMayHaveRun(now);
  }

  private boolean full() {
    return runs.size() >= settings.maxRuns()
        || waiters >= settings.maxWaiters()
        || fold.size() >= settings.maxKeys()
        || resultBytes >= settings.maxResultBytes();
  }

  private void start(
      RunOnceRequest request, Waiter waiter, HolderTenure tenure, Instant now, List<Effect> out) {
    Duration retention = settings.keyRetention();
    if (request.retention().compareTo(retention) > 0) {
      retention = request.retention();
    }
    RunOnceEntry intent =
        new RunOnceEntry(
            request.key(),
            request.fingerprint(),
            new AttemptId(tenure.epoch(), nextSequence++),
            EntryState.INTENT,
            Optional.empty(),
            "",
            now.plus(retention));
    Run run = new Run(request, intent, now);
    run.waiters().add(waiter);
    waiters++;
    runs.put(request.key(), run);
    log.add(intent, now);
    if (log.stalledFor(now).compareTo(settings.maxReplicaOnly()) < 0) {
      run.replicationRequested();
      tenure.client().store(run, now, out);
    }
  }

  private void onDurable(Run run, ReplicaClient client, Instant now, List<Effect> out) {
    if (run.phase() == Run.Phase.ENDED) {
      run.answerAll(out);
    } else if (run.phase() == Run.Phase.STORING && run.request().deadline().isAfter(now)) {
      run.dispatched();
      out.add(new RunCall(partition, run.entry().attempt(), run.request()));
    } else if (run.phase() == Run.Phase.STORING) {
      end(run, run.entry().ended(EntryState.ABANDONED, "too late"), client, now, out);
    }
  }

  private void end(
      Run run, RunOnceEntry ended, @Nullable ReplicaClient client, Instant now, List<Effect> out) {
    run.end(ended, now);
    resultBytes += run.resultBytes();
    if (ended.state() != EntryState.COMPLETED || client == null) {
      run.answerAll(out);
    }
    if (client == null) {
      late.add(ended);
      remove(run);
      return;
    }
    log.add(ended, now);
    client.store(run, now, out);
  }

  private @Nullable Run running(RunOnceKey key, AttemptId attempt) {
    Run run = runs.get(key);
    boolean own = run != null && run.entry().attempt().equals(attempt);
    return own && run.phase() == Run.Phase.RUNNING ? run : null;
  }

  private static boolean ended(Run run, EntryState state) {
    return run.phase() == Run.Phase.ENDED && run.entry().state() == state;
  }

  private void remove(Run run) {
    runs.remove(run.entry().key());
    resultBytes -= run.resultBytes();
  }

  /**
   * Recounts the waiting callers. Between two recounts the number is too high rather than too low.
   */
  private void recountWaiters() {
    waiters = runs.values().stream().mapToInt(run -> run.waiters().size()).sum();
  }
}
