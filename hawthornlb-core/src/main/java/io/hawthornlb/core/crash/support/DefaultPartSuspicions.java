package io.hawthornlb.core.crash.support;

import io.hawthornlb.core.crash.Admission;
import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.crash.EndpointCrash;
import io.hawthornlb.core.crash.PartEvidence;
import io.hawthornlb.core.crash.PartSuspicions;
import io.hawthornlb.core.crash.ProbeSchedule;
import io.hawthornlb.core.crash.PromptParts;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Blocks a part after a number of crashes between which no answer has begun on it.
 *
 * <p>Sound requests share parts with crashing ones and are at the same endpoints when these crash.
 * Two rules keep their parts from being blocked. An answer that begins clears all parts of its
 * request. And of the parts that are suspected of the same crashes, the one that explains the most
 * is blocked: a part whose crashes are all explained by another one is not, and parts that cannot
 * be told apart block only requests that have all of them.
 */
public final class DefaultPartSuspicions implements PartSuspicions {

  /** Number of crashes without a begun answer after which a part is blocked. */
  static final int BLOCKING_CRASHES = 3;

  /** Time without a request with the part after which it is forgotten. */
  static final Duration RETENTION = Duration.ofHours(1);

  /** Interval at which requests that are refused prolong what is known of their parts. */
  private static final Duration REFRESH_INTERVAL = Duration.ofMinutes(10);

  /** Shortest time after which a blocked caller is told to return. */
  private static final Duration MIN_RETRY = Duration.ofSeconds(1);

  /** Maximum number of suspected parts; bounds the memory while callers make up parts. */
  static final int MAX_SUSPECTED = 2_000;

  private final Map<String, PartEvidence> suspected = new HashMap<>();
  private final Set<String> changed = new HashSet<>();
  private final BegunParts begun = new BegunParts();
  private final UnsentProbes unsent = new UnsentProbes();

  @Override
  public void crashed(EndpointCrash crash, Instant now) {
    crash.suspects().stream()
        .filter(part -> !begun.contains(part, now))
        .filter(part -> merge(part, PartEvidence.of(crash.id(), now), now))
        .forEach(changed::add);
  }

  @Override
  public Map<String, PartEvidence> began(PromptParts parts, Instant now) {
    begun.add(parts, now);
    if (suspected.isEmpty()) {
      return Map.of();
    }
    Map<String, PartEvidence> cleared = new HashMap<>();
    for (String part : parts.ids()) {
      PartEvidence evidence = forget(part);
      if (evidence != null) {
        cleared.put(part, evidence);
      }
    }
    return cleared;
  }

  @Override
  public Optional<CrashBlock> check(PromptParts parts, ProbeSchedule schedule, Instant now) {
    for (String part : blocked(parts)) {
      PartEvidence evidence = suspected.get(part);
      Optional<Instant> due = nextProbe(part, evidence, schedule);
      if (due.isEmpty() || now.isBefore(due.get())) {
        prolong(part, evidence, now);
        Duration untilProbe = due.map(time -> Duration.between(now, time)).orElse(RETENTION);
        return Optional.of(block(evidence, untilProbe));
      }
    }
    return Optional.empty();
  }

  @Override
  public Admission admit(PromptParts parts, ProbeSchedule schedule, Instant now) {
    Optional<CrashBlock> block = check(parts, schedule, now);
    if (block.isPresent()) {
      return Admission.refused(block.get());
    }
    List<String> probed = blocked(parts);
    for (String part : probed) {
      PartEvidence evidence = suspected.get(part);
      suspected.put(part, unsent.grant(part, evidence, now));
      changed.add(part);
    }
    return probed.isEmpty() ? Admission.FREE : new Admission(Optional.empty(), Set.copyOf(probed));
  }

  @Override
  public void unsent(Set<String> probed) {
    probed.stream().filter(suspected::containsKey).forEach(unsent::add);
  }

  /** Returns the parts of a request that are blocked, whether or not a probe of them is due. */
  private List<String> blocked(PromptParts parts) {
    if (suspected.isEmpty()) {
      return List.of();
    }
    List<String> blocked = new ArrayList<>();
    for (String part : parts.ids()) {
      PartEvidence evidence = suspected.get(part);
      if (evidence != null
          && evidence.crashes().size() >= BLOCKING_CRASHES
          && culprit(evidence)
          && parts.ids().containsAll(explainingAlike(evidence))) {
        blocked.add(part);
      }
    }
    return blocked;
  }

  /** Returns whether no other part explains all these crashes and more. */
  private boolean culprit(PartEvidence evidence) {
    return suspected.values().stream()
        .noneMatch(
            other ->
                other.crashes().size() > evidence.crashes().size()
                    && other.crashes().containsAll(evidence.crashes()));
  }

  /** Returns the parts that are suspected of exactly the same crashes. */
  private Set<String> explainingAlike(PartEvidence evidence) {
    return suspected.entrySet().stream()
        .filter(each -> each.getValue().crashes().equals(evidence.crashes()))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Returns when a request may find out whether the part still crashes endpoints. */
  private Optional<Instant> nextProbe(String part, PartEvidence evidence, ProbeSchedule schedule) {
    PartEvidence made = unsent.without(part, evidence);
    return schedule.pause(made.crashes().size(), made.probes()).map(made.tried()::plus);
  }

  /** Keeps a part known while requests with it come. */
  private void prolong(String part, PartEvidence evidence, Instant now) {
    if (now.isAfter(evidence.seen().plus(REFRESH_INTERVAL))) {
      suspected.put(part, evidence.seenAt(now));
      changed.add(part);
    }
  }

  private CrashBlock block(PartEvidence evidence, Duration untilProbe) {
    Duration retryAfter = untilProbe.compareTo(MIN_RETRY) < 0 ? MIN_RETRY : untilProbe;
    return new CrashBlock(explainingAlike(evidence), evidence.crashes(), retryAfter);
  }

  @Override
  public boolean merge(String part, PartEvidence other, Instant now) {
    PartEvidence evidence = other.notAfter(now);
    PartEvidence known = suspected.get(part);
    PartEvidence merged = known == null ? evidence : known.merge(evidence);
    if (merged.equals(known) || outdated(merged, now)) {
      return false;
    }
    if (known == null && suspected.size() >= MAX_SUSPECTED) {
      forgetLeastSuspected();
    }
    suspected.put(part, merged);
    return known == null || !known.covers(evidence);
  }

  /** Makes room: parts with the most crashes, and of these the last seen ones, are kept. */
  private void forgetLeastSuspected() {
    suspected.entrySet().stream()
        .min(
            Comparator.comparingInt(
                    (Map.Entry<String, PartEvidence> each) -> each.getValue().crashes().size())
                .thenComparing(each -> each.getValue().seen()))
        .map(Map.Entry::getKey)
        .ifPresent(this::forget);
  }

  private @Nullable PartEvidence forget(String part) {
    unsent.forget(part);
    return suspected.remove(part);
  }

  private static boolean outdated(PartEvidence evidence, Instant now) {
    return evidence.seen().plus(RETENTION).isBefore(now);
  }

  @Override
  public void clear(String part) {
    forget(part);
  }

  @Override
  public boolean any() {
    return !suspected.isEmpty();
  }

  @Override
  public Optional<PartEvidence> evidence(String part) {
    return Optional.ofNullable(suspected.get(part));
  }

  @Override
  public Map<String, PartEvidence> suspected() {
    return Map.copyOf(suspected);
  }

  @Override
  public Set<String> takeChanges() {
    Set<String> taken = Set.copyOf(changed);
    changed.clear();
    return taken;
  }

  @Override
  public Set<String> expire(Instant now) {
    Set<String> old = new HashSet<>();
    suspected.forEach(
        (part, evidence) -> {
          if (outdated(evidence, now)) {
            old.add(part);
          }
        });
    old.forEach(this::forget);
    return old;
  }
}
