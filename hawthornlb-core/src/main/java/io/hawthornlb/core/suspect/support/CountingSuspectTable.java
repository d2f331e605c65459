package io.hawthornlb.core.suspect.support;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.effect.BroadcastPeerMessage;
import io.hawthornlb.core.effect.BroadcastScope;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.suspect.ClearNotice;
import io.hawthornlb.core.suspect.CrashNotice;
import io.hawthornlb.core.suspect.Fingerprint;
import io.hawthornlb.core.suspect.QuarantineNotice;
import io.hawthornlb.core.suspect.SuspectSettings;
import io.hawthornlb.core.suspect.SuspectTable;
import io.hawthornlb.core.suspect.Verdict;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Default table, which counts crashes by fingerprint, including the crashes that peers report.
 *
 * <p>A request that ran at an endpoint when it crashed runs alone next. Rendezvous hashing selects
 * the endpoint by the fingerprint, so that all entry instances send the request to the same one. If
 * that endpoint crashes too, the request is refused from then on. If the request ends without a
 * crash, it is no longer a suspect.
 */
public final class CountingSuspectTable implements SuspectTable {

  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private record Quarantine(Fingerprint fingerprint, Instant until) {}

  private record Pending(PeerMessage message, Instant at) {}

  private final InstanceId self;
  private final SuspectSettings settings;
  private final Map<Fingerprint, SuspectRecord> suspects = new LinkedHashMap<>();
  private final Map<EndpointId, Quarantine> quarantines = new HashMap<>();
  private final Map<EndpointId, Fingerprint> ownAlone = new HashMap<>();
  private final Deque<Pending> resends = new ArrayDeque<>();
  private long sequence;

  /** Creates the table of an instance. */
  public CountingSuspectTable(InstanceId self, SuspectSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  @Override
  public Verdict judge(Fingerprint fingerprint, Set<EndpointId> endpoints, Instant now) {
    SuspectRecord suspect = suspects.get(fingerprint);
    if (suspect == null || expired(suspect, now)) {
      return new Verdict.Clear();
    }
    if (suspect.alone() >= settings.maxCrashesAlone()
        || suspect.crashes() >= settings.maxCrashes()) {
      return new Verdict.Refused(
          Refusal.mayHaveRun(
              RefusalReason.CRASHES_ENDPOINTS,
              "endpoints crashed each time this request ran; it is not tried again"));
    }
    Optional<EndpointId> target = quarantineEndpoint(fingerprint, endpoints);
    if (target.isEmpty()
        || quarantined(target.get(), now)
        || runsAloneSomewhere(fingerprint, now)) {
      return new Verdict.Wait(RETRY_DELAY);
    }
    return new Verdict.Alone(target.get());
  }

  @Override
  public List<Effect> onAloneStarted(Fingerprint fingerprint, EndpointId endpoint, Instant now) {
    Instant until = now.plus(settings.maxQuarantine());
    quarantines.put(endpoint, new Quarantine(fingerprint, until));
    ownAlone.put(endpoint, fingerprint);
    return broadcast(new QuarantineNotice(fingerprint, endpoint, until), now);
  }

  @Override
  public List<Effect> onAloneSucceeded(Fingerprint fingerprint, EndpointId endpoint, Instant now) {
    suspects.remove(fingerprint);
    List<Effect> effects = new ArrayList<>(endAlone(endpoint, now));
    effects.addAll(broadcast(new ClearNotice(fingerprint, now), now));
    return effects;
  }

  @Override
  public List<Effect> onAloneEnded(Fingerprint fingerprint, EndpointId endpoint, Instant now) {
    return fingerprint.equals(ownAlone.get(endpoint)) ? endAlone(endpoint, now) : List.of();
  }

  @Override
  public List<Effect> onCrash(EndpointId endpoint, List<Fingerprint> running, Instant now) {
    Fingerprint alone = ownAlone.get(endpoint);
    boolean ranAlone = running.size() == 1 && running.get(0).equals(alone);
    List<Effect> effects = new ArrayList<>();
    if (!running.isEmpty()) {
      CrashNotice notice = new CrashNotice(self, ++sequence, endpoint, now, running, ranAlone);
      onNotice(notice, now);
      // The caller may resend the request through another entry instance as soon as it has its
      // answer. Therefore the notice is sent before that answer, and a second time in case it is
      // lost.
      effects.addAll(broadcast(notice, now));
    }
    effects.addAll(endAlone(endpoint, now));
    return effects;
  }

  @Override
  public void onNotice(CrashNotice notice, Instant now) {
    for (Fingerprint fingerprint : notice.suspects()) {
      suspects.computeIfAbsent(fingerprint, key -> new SuspectRecord(now)).add(notice, now);
    }
    while (suspects.size() > settings.capacity()) {
      suspects.remove(suspects.keySet().iterator().next());
    }
  }

  @Override
  public void onClear(ClearNotice notice, Instant now) {
    SuspectRecord suspect = suspects.get(notice.fingerprint());
    if (suspect != null && !suspect.lastCrash().isAfter(notice.at())) {
      suspects.remove(notice.fingerprint());
    }
  }

  @Override
  public void onQuarantine(QuarantineNotice notice, Instant now) {
    if (notice.until().isAfter(now)) {
      quarantines.put(notice.endpoint(), new Quarantine(notice.fingerprint(), notice.until()));
    } else {
      quarantines.remove(notice.endpoint());
    }
  }

  @Override
  public List<Effect> onTick(Instant now) {
    suspects.values().removeIf(suspect -> expired(suspect, now));
    quarantines.values().removeIf(quarantine -> !now.isBefore(quarantine.until()));
    List<Effect> effects = new ArrayList<>();
    while (!resends.isEmpty() && !now.isBefore(resends.peek().at().plus(settings.resendAfter()))) {
      effects.add(new BroadcastPeerMessage(resends.poll().message(), BroadcastScope.FLEET));
    }
    return effects;
  }

  private List<Effect> endAlone(EndpointId endpoint, Instant now) {
    Fingerprint fingerprint = ownAlone.remove(endpoint);
    if (fingerprint == null) {
      return List.of();
    }
    quarantines.remove(endpoint);
    return broadcast(new QuarantineNotice(fingerprint, endpoint, now), now);
  }

  private List<Effect> broadcast(PeerMessage message, Instant now) {
    // A quarantine notice that is sent again late would extend the quarantine beyond its end. If
    // the first notice is lost, the time limit of the quarantine applies.
    if (!(message instanceof QuarantineNotice)) {
      resends.add(new Pending(message, now));
    }
    return List.of(new BroadcastPeerMessage(message, BroadcastScope.FLEET));
  }

  private boolean quarantined(EndpointId endpoint, Instant now) {
    Quarantine quarantine = quarantines.get(endpoint);
    return quarantine != null && now.isBefore(quarantine.until());
  }

  private boolean runsAloneSomewhere(Fingerprint fingerprint, Instant now) {
    // An endpoint where a suspect runs alone accepts no work and may be missing from the given
    // endpoints. The fingerprint would then select another endpoint, and two endpoints could crash
    // at once.
    return quarantines.values().stream()
        .anyMatch(each -> each.fingerprint().equals(fingerprint) && now.isBefore(each.until()));
  }

  private boolean expired(SuspectRecord suspect, Instant now) {
    return now.isAfter(suspect.lastCrash().plus(settings.retention()));
  }

  private static Optional<EndpointId> quarantineEndpoint(
      Fingerprint fingerprint, Set<EndpointId> endpoints) {
    return endpoints.stream()
        .max(
            Comparator.comparingLong((EndpointId endpoint) -> weight(fingerprint, endpoint))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static long weight(Fingerprint fingerprint, EndpointId endpoint) {
    return Hashing.komihash5_0()
        .hashStream()
        .putLong(fingerprint.value())
        .putString(endpoint.value())
        .getAsLong();
  }
}
