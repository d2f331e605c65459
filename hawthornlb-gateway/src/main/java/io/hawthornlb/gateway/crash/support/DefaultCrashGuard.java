package io.hawthornlb.gateway.crash.support;

import io.hawthornlb.core.crash.Admission;
import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.crash.EndpointCrash;
import io.hawthornlb.core.crash.PartEvidence;
import io.hawthornlb.core.crash.PartSuspicions;
import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.gateway.crash.BrokenRun;
import io.hawthornlb.gateway.crash.CrashGuard;
import io.hawthornlb.gateway.crash.EvidenceChannel;
import io.hawthornlb.gateway.crash.EvidenceReceiver;
import io.hawthornlb.gateway.crash.PartUpdate;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.wire.EndpointLiveness;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Guard whose evidence all instances share.
 *
 * <p>A connection also breaks when it is reset on the way. Only an endpoint that accepts no further
 * connection either has crashed, so the guard tries one before it suspects anything.
 */
public final class DefaultCrashGuard implements CrashGuard, EvidenceReceiver {

  private static final Duration EXPIRY_INTERVAL = Duration.ofMinutes(1);

  private final PartSuspicions suspicions;
  private final EndpointLiveness liveness;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final List<EvidenceChannel> channels = new ArrayList<>();
  private final Map<EndpointIncarnation, List<BrokenRun>> checked = new HashMap<>();

  /** Creates a guard that does all its work on the executor. */
  public DefaultCrashGuard(
      PartSuspicions suspicions,
      EndpointLiveness liveness,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log,
      GatewayMetrics metrics) {
    this.suspicions = suspicions;
    this.liveness = liveness;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Adds a channel over which the other instances learn what this one learns. */
  public void addChannel(EvidenceChannel channel) {
    channels.add(channel);
  }

  @Override
  public Optional<CrashBlock> check(PromptParts parts) {
    if (!suspicions.any()) {
      return Optional.empty();
    }
    Optional<CrashBlock> block = suspicions.check(parts, clock.instant());
    publishChanges();
    return block;
  }

  @Override
  public Admission admit(PromptParts parts) {
    if (!suspicions.any()) {
      return Admission.FREE;
    }
    Admission admission = suspicions.admit(parts, clock.instant());
    publishChanges();
    return admission;
  }

  @Override
  public void began(String requestId, PromptParts parts) {
    Map<String, PartEvidence> cleared = suspicions.began(parts, clock.instant());
    if (cleared.isEmpty()) {
      return;
    }
    metrics.count("crashes", "part cleared");
    log.important("crash", "part.cleared")
        .with("parts", String.join(" ", cleared.keySet()))
        .with("id", requestId)
        .write();
    List<PartUpdate> updates =
        cleared.keySet().stream().map(part -> new PartUpdate(part, null)).toList();
    publish(updates, cleared.values().stream().anyMatch(DefaultCrashGuard::urgent));
  }

  @Override
  public void broken(BrokenRun run) {
    List<BrokenRun> others = checked.get(run.endpoint());
    if (others != null) {
      others.add(run);
      return;
    }
    List<BrokenRun> runs = new ArrayList<>(List.of(run));
    checked.put(run.endpoint(), runs);
    liveness.check(
        run.address(),
        ended -> {
          checked.remove(run.endpoint());
          onChecked(run.endpoint(), ended, runs);
        });
  }

  private void onChecked(EndpointIncarnation endpoint, boolean ended, List<BrokenRun> runs) {
    Set<String> suspects = new HashSet<>();
    runs.forEach(run -> suspects.addAll(run.parts().ids()));
    metrics.count("crashes", ended ? "endpoint ended" : "endpoint alive");
    log.important("crash", ended ? "endpoint.ended" : "endpoint.alive")
        .with("endpoint", endpoint.id())
        .with("ids", String.join(" ", runs.stream().map(BrokenRun::requestId).toList()))
        .with("parts", String.join(" ", suspects))
        .write();
    if (ended) {
      String id = endpoint.id() + ":" + endpoint.born();
      if (id.length() <= EndpointCrash.MAX_ID_LENGTH) {
        suspicions.crashed(new EndpointCrash(id, suspects), clock.instant());
        publishChanges();
      }
    }
  }

  @Override
  public void receive(String source, PartUpdate update) {
    PartEvidence evidence = update.evidence();
    if (evidence == null) {
      Optional<PartEvidence> known = suspicions.evidence(update.part());
      suspicions.clear(update.part());
      if (known.isPresent() && worthALine(update.part(), known.get())) {
        log.important("crash", "part.cleared")
            .with("parts", update.part())
            .with("from", source)
            .write();
      }
    } else if (suspicions.merge(update.part(), evidence, clock.instant())) {
      logSuspected(update.part(), source);
    }
  }

  /** Begins to forget parts that were not seen for a long time. */
  public void start() {
    executor.schedule(this::expire, EXPIRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void expire() {
    Set<String> old = suspicions.expire(clock.instant());
    channels.forEach(channel -> channel.expired(old));
    start();
  }

  private void publishChanges() {
    List<PartUpdate> urgent = new ArrayList<>();
    List<PartUpdate> others = new ArrayList<>();
    for (String part : suspicions.takeChanges()) {
      logSuspected(part, "here");
      suspicions
          .evidence(part)
          .ifPresent(
              evidence -> (urgent(evidence) ? urgent : others).add(new PartUpdate(part, evidence)));
    }
    publish(urgent, true);
    publish(others, false);
  }

  private void publish(List<PartUpdate> updates, boolean urgent) {
    if (!updates.isEmpty()) {
      channels.forEach(channel -> channel.publish(updates, urgent));
    }
  }

  private static boolean urgent(PartEvidence evidence) {
    return evidence.crashes().size() > 1;
  }

  /** Returns whether a part is more than the content of one request that was beside a crash. */
  private static boolean worthALine(String part, PartEvidence evidence) {
    return !PromptParts.isContent(part) || urgent(evidence);
  }

  /** Logs what speaks against a part, so that a refusal can be traced to its crashes. */
  private void logSuspected(String part, String source) {
    Instant now = clock.instant();
    suspicions
        .evidence(part)
        .filter(evidence -> worthALine(part, evidence))
        .ifPresent(
            evidence ->
                log.important("crash", "part.suspected")
                    .with("parts", part)
                    .with("crashes", String.join(" ", evidence.crashes()))
                    .with("count", evidence.crashes().size())
                    .with("probes", evidence.probes())
                    .with("triedMillisAgo", Duration.between(evidence.tried(), now).toMillis())
                    .with("from", source)
                    .write());
  }
}
