package io.hawthornlb.gateway.crash.support;

import io.hawthornlb.core.crash.Admission;
import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.crash.EndpointCrash;
import io.hawthornlb.core.crash.PartEvidence;
import io.hawthornlb.core.crash.PartSuspicions;
import io.hawthornlb.core.crash.ProbeSchedule;
import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.core.crash.support.DefaultPartSuspicions;
import io.hawthornlb.core.crash.support.EndlessProbes;
import io.hawthornlb.core.crash.support.LimitedProbes;
import io.hawthornlb.gateway.crash.BrokenRun;
import io.hawthornlb.gateway.crash.CrashGuard;
import io.hawthornlb.gateway.crash.EvidenceChannel;
import io.hawthornlb.gateway.crash.EvidenceReceiver;
import io.hawthornlb.gateway.crash.PartUpdate;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.wire.EndpointLiveness;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Guard whose evidence all instances share, but for what batch items show. */
public final class DefaultCrashGuard implements CrashGuard, EvidenceReceiver {

  private static final Duration EXPIRY_INTERVAL = Duration.ofMinutes(1);

  private static final ProbeSchedule PROBES = new LimitedProbes();

  private final PartSuspicions suspicions;
  private final PartSuspicions itemSuspicions = new DefaultPartSuspicions();
  private final CrashDetection detection;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final List<EvidenceChannel> channels = new ArrayList<>();
  private final Consumer<EndpointCrash> requestCrash = this::onRequestCrash;
  private final Consumer<EndpointCrash> itemCrash = this::onItemCrash;
  private final CrashGuard items = new ItemCrashGuard(this);

  /** Creates a guard that does all its work on the executor. */
  public DefaultCrashGuard(
      PartSuspicions suspicions,
      EndpointLiveness liveness,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log,
      GatewayMetrics metrics) {
    this.suspicions = suspicions;
    this.detection = new CrashDetection(liveness, log, metrics);
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Adds a channel over which the other instances learn what this one learns. */
  public void addChannel(EvidenceChannel channel) {
    channels.add(channel);
  }

  /** Returns the guard of batch items. */
  public CrashGuard forItems() {
    return items;
  }

  @Override
  public Optional<CrashBlock> check(PromptParts parts) {
    return check(parts, PROBES);
  }

  Optional<CrashBlock> check(PromptParts parts, ProbeSchedule schedule) {
    if (!suspicions.any()) {
      return Optional.empty();
    }
    Optional<CrashBlock> block = suspicions.check(parts, schedule, clock.instant());
    publishChanges();
    return block;
  }

  @Override
  public Admission admit(PromptParts parts) {
    return admit(parts, PROBES);
  }

  Admission admit(PromptParts parts, ProbeSchedule schedule) {
    if (!suspicions.any()) {
      return Admission.FREE;
    }
    Admission admission = suspicions.admit(parts, schedule, clock.instant());
    publishChanges();
    return admission;
  }

  Optional<CrashBlock> checkItem(PromptParts parts) {
    return itemSuspicions.check(parts, EndlessProbes.SUSPECTED_BY_ITEMS, clock.instant());
  }

  Admission admitItem(PromptParts parts) {
    return itemSuspicions.admit(parts, EndlessProbes.SUSPECTED_BY_ITEMS, clock.instant());
  }

  @Override
  public void unsent(Set<String> probed) {
    suspicions.unsent(probed);
    itemSuspicions.unsent(probed);
    metrics.count("crashes", "probe unsent");
  }

  @Override
  public void began(String requestId, PromptParts parts) {
    itemSuspicions.began(parts, clock.instant());
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
    detection.check(run, requestCrash);
  }

  void itemBroken(BrokenRun run) {
    detection.check(run, itemCrash);
  }

  private void onRequestCrash(EndpointCrash crash) {
    suspicions.crashed(crash, clock.instant());
    publishChanges();
  }

  private void onItemCrash(EndpointCrash crash) {
    itemSuspicions.crashed(crash, clock.instant());
    itemSuspicions.takeChanges();
  }

  @Override
  public void receive(String source, PartUpdate update) {
    PartEvidence evidence = update.evidence();
    if (evidence == null) {
      Optional<PartEvidence> known = suspicions.evidence(update.part());
      suspicions.clear(update.part());
      itemSuspicions.clear(update.part());
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
    itemSuspicions.expire(clock.instant());
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
