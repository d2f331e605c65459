package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotCoordinator;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Coordinator that queues by rank and revokes a batch item when an online request finds no slot.
 *
 * <p>A request that is refused at once can come back while there is time; one that waits longer
 * than it may would be late and would have kept others waiting. So an online request waits only
 * while its expected wait, from the length of recent uses, is within what it may wait.
 */
public final class DefaultSlotCoordinator implements SlotCoordinator {

  /** Items that can be in time before those that cannot, then by due time. */
  private static final Comparator<SlotLease> ITEM_ORDER =
      Comparator.comparing(SlotLease::late).thenComparing(SlotLease::rank);

  private final EndpointDirectory directory;
  private final SlotSettings settings;
  private final LongConsumer barred;
  private final Penalties penalties;
  private final Outliers outliers;
  private final CrashCounts crashes = new CrashCounts();
  private final RefusedCallers refusedCallers;
  private final OverloadSpell spell = new OverloadSpell();
  private final ForeignLoad foreign = new ForeignLoad();
  private final WaitEstimate estimate = new WaitEstimate();
  private final SlotLeases leases;
  private final WaitingRequests waiting = new WaitingRequests();
  private final LateItems lateItems;
  private final SlotSearch search;

  /**
   * Creates a coordinator of a service.
   *
   * @param barred told of each request that gets no more slots because it crashed endpoints
   */
  public DefaultSlotCoordinator(
      String service, EndpointDirectory directory, SlotSettings settings, LongConsumer barred) {
    this.barred = barred;
    this.directory = directory;
    this.settings = settings;
    this.penalties = new Penalties(settings);
    this.outliers = new Outliers(settings);
    this.refusedCallers = new RefusedCallers(settings);
    this.leases = new SlotLeases(directory);
    this.lateItems = new LateItems(leases, waiting);
    this.search =
        new SlotSearch(service, directory, settings, leases, penalties, outliers, foreign);
    directory.onRestart(this::begun);
  }

  @Override
  public List<SlotAnswer> request(SlotRequest request, Instant now) {
    SlotLease held = leases.find(request.key());
    if (held != null && leases.counts(held)) {
      // The answer was lost, and the holder asks again.
      return List.of(new SlotAnswer.Granted(request.key(), held.life()));
    }
    leases.drop(request.key());
    Waiter known = waiting.find(request.key());
    if (known != null) {
      return List.of(waitingUntil(known, now));
    }
    if (crashes.barred(request.fingerprint(), now)) {
      return List.of(refused(request, crashes.remembered()));
    }
    List<SlotAnswer> answers = new ArrayList<>();
    boolean returning = refusedCallers.returned(request.fingerprint(), now);
    boolean alone = waiting.isEmpty();
    if (!tryGrant(request, now, answers)) {
      waitOrRefuse(request, returning, now, answers);
    } else if (alone) {
      spell.eased(now);
    }
    return answers;
  }

  @Override
  public List<SlotAnswer> release(SlotKey key, SlotOutcome outcome, Instant now) {
    waiting.remove(key);
    SlotLease lease = leases.drop(key);
    if (lease == null) {
      return List.of();
    }
    if (leases.counts(lease)) {
      penalties.record(
          lease.endpoint(), lease.endpointDataCentre(), lease.dataCentre(), outcome, now);
      outliers.ended(lease, outcome, now);
    }
    if (outcome == SlotOutcome.FAILED && lease.fingerprint() != 0) {
      crashed(lease.fingerprint(), now);
    }
    if (outcome == SlotOutcome.ANSWERED && !lease.batch()) {
      estimate.ended(lease.since(), now);
    }
    return fill(now);
  }

  @Override
  public void suspect(SlotKey key, Instant now) {
    SlotLease lease = leases.find(key);
    if (lease == null || !leases.counts(lease)) {
      return;
    }
    // No failure of the way there: a full endpoint is silent as well, and must not count as cut
    // off.
    penalties.record(
        lease.endpoint(), lease.endpointDataCentre(), lease.dataCentre(), SlotOutcome.SHED, now);
    SlotOutcome taken = lease.suspected() ? SlotOutcome.FAILED : SlotOutcome.SHED;
    outliers.ended(lease, taken, now);
    leases.hold(lease.withSuspicion());
  }

  @Override
  public void told(SlotKey key, ReportedLoad load, Instant now) {
    SlotLease lease = leases.find(key);
    if (lease != null && leases.counts(lease)) {
      foreign.told(lease.endpoint(), load, leases.used(lease.endpoint()), now);
    }
  }

  @Override
  public void bar(long fingerprint, Instant now) {
    crashes.bar(fingerprint, now);
  }

  @Override
  public void renew(String holder, List<SlotUse> uses, Instant now) {
    Map<Long, SlotUse> told =
        uses.stream().collect(Collectors.toMap(SlotUse::number, use -> use, (a, b) -> b));
    Instant settled = now.minus(settings.leaseTime().dividedBy(3));
    leases.dropAll(
        lease ->
            lease.key().holder().equals(holder)
                && !told.containsKey(lease.key().number())
                && lease.since().isBefore(settled));
    for (SlotUse use : told.values()) {
      SlotKey key = new SlotKey(holder, use.number());
      SlotLease known = leases.find(key);
      SlotLease renewed =
          known != null && known.endpoint().equals(use.endpoint())
              ? known.renewed(use.life(), now)
              : adopted(key, use, now);
      leases.hold(renewed);
    }
  }

  @Override
  public List<SlotAnswer> tick(Instant now) {
    Instant silentSince = now.minus(settings.leaseTime());
    leases.dropAll(lease -> lease.renewed().isBefore(silentSince));
    if (settings.lateItemsLast()) {
      lateItems.look(now);
    }
    List<SlotAnswer> answers = new ArrayList<>(fill(now));
    for (Waiter waiter : waiting.removeExpired(now)) {
      answers.add(refuse(waiter, now));
    }
    return answers;
  }

  @Override
  public boolean busy() {
    return !leases.isEmpty() || !waiting.isEmpty();
  }

  private void crashed(long fingerprint, Instant now) {
    crashes.crashed(fingerprint, now);
    if (crashes.barred(fingerprint, now)) {
      barred.accept(fingerprint);
    }
  }

  private void waitOrRefuse(
      SlotRequest request, boolean returning, Instant now, List<SlotAnswer> answers) {
    Duration longest = returning ? request.patience() : request.maxWait();
    Waiter waiter = new Waiter(request, returning, late(request, now), now, now.plus(longest));
    if (!request.batch() && expectedWait(waiter, now).compareTo(longest) > 0) {
      answers.add(refuse(waiter, now));
      return;
    }
    waiting.add(waiter);
    answers.add(waitingUntil(waiter, now));
  }

  private Duration expectedWait(Waiter waiter, Instant now) {
    Duration queue = estimate.of(waiting.before(waiter), search.slots());
    // Newcomers go first, so that one that comes back is served once the overload ends.
    Duration overload = waiter.returning() ? spell.remaining(now) : Duration.ZERO;
    return queue.compareTo(overload) > 0 ? queue : overload;
  }

  private static SlotAnswer waitingUntil(Waiter waiter, Instant now) {
    return new SlotAnswer.Waiting(waiter.request().key(), Duration.between(now, waiter.until()));
  }

  /** Refuses a request and tells when those who are to be served before it will be. */
  private SlotAnswer refuse(Waiter waiter, Instant now) {
    SlotRequest request = waiter.request();
    if (request.batch()) {
      return refused(request, Duration.ZERO);
    }
    int before = waiting.online() + refusedCallers.count(now);
    Duration queue = estimate.retryAfter(before, search.slots());
    Duration overload = overload(now);
    Duration retryAfter = queue.compareTo(overload) > 0 ? queue : overload;
    if (!waiter.returning()) {
      refusedCallers.refused(request.fingerprint(), retryAfter, now);
    }
    return refused(request, retryAfter);
  }

  private SlotAnswer refused(SlotRequest request, Duration retryAfter) {
    SlotAnswer.Load seen = new SlotAnswer.Load(search.slots(), leases.counted(), waiting.online());
    return new SlotAnswer.Refused(request.key(), retryAfter, seen);
  }

  /** Takes a refusal; returns for how long the overload that it is due to is likely to last. */
  private Duration overload(Instant now) {
    if (settings.returnTime().isNegative() || !exhausted(now)) {
      // Without a free slot for this request alone, which may have excluded those there are.
      return Duration.ZERO;
    }
    spell.refused(now);
    return spell.remaining(now);
  }

  /**
   * Hands free slots to those that wait, in their order.
   *
   * <p>Load pattern: on the crest of a large fleet hundreds wait while slots come free one by one.
   * A search that found nothing is not made again for others from the same data centre, who would
   * find nothing either, and none is made while all slots are in use ({@link #exhausted}).
   */
  private List<SlotAnswer> fill(Instant now) {
    List<SlotAnswer> answers = new ArrayList<>();
    Set<Search> failed = new HashSet<>();
    Iterator<Waiter> next = waiting.inOrder();
    while (next.hasNext() && !exhausted(now)) {
      SlotRequest request = next.next().request();
      if (request.batch() && !search.anyFree(now)) {
        // Items come last, and there is a slot for none of those behind it either.
        break;
      }
      Search search = new Search(request.dataCentre(), request.batch());
      if (failed.contains(search)) {
        continue;
      }
      if (tryGrant(request, now, answers)) {
        next.remove();
      } else if (request.excluded().isEmpty()) {
        failed.add(search);
      }
    }
    return answers;
  }

  /** Where a slot is looked for; those with an equal one find the same, less what they exclude. */
  private record Search(String dataCentre, boolean batch) {

    // Written out: the generated ones are linked at run time, in some milliseconds.
    @Override
    public boolean equals(Object other) {
      return other instanceof Search search
          && batch == search.batch
          && dataCentre.equals(search.dataCentre);
    }

    @Override
    public int hashCode() {
      return 31 * dataCentre.hashCode() + Boolean.hashCode(batch);
    }
  }

  private boolean late(SlotRequest request, Instant now) {
    return settings.lateItemsLast() && lateItems.late(request, now);
  }

  /** Returns whether no endpoint has a slot that is free or can be taken back. */
  private boolean exhausted(Instant now) {
    return !leases.anyItem() && !search.anyFree(now);
  }

  private boolean tryGrant(SlotRequest request, Instant now, List<SlotAnswer> answers) {
    String from = request.dataCentre();
    List<EndpointRecord> candidates = search.candidates(request, now);
    List<EndpointRecord> sound = search.sound(candidates, from, now);
    if (request.batch() && !search.roomForItem(sound, now)) {
      return false;
    }
    Optional<EndpointRecord> found = search.withFreeSlot(sound, from, now);
    if (found.isEmpty() && !request.batch()) {
      found =
          revokeOne(search.preferred(sound, from), answers)
              .or(() -> revokeOne(sound, answers))
              .or(() -> search.withFreeSlot(candidates, from, now));
    }
    if (found.isEmpty()) {
      return false;
    }
    EndpointRecord endpoint = found.get();
    penalties.granted(endpoint, request.dataCentre(), now);
    outliers.granted(endpoint.id(), request.dataCentre(), now);
    leases.hold(
        new SlotLease(
            request.key(),
            endpoint.life(),
            endpoint.dataCentre(),
            request.dataCentre(),
            request.batch(),
            request.rank(),
            request.work(),
            late(request, now),
            request.fingerprint(),
            now,
            now,
            false));
    answers.add(new SlotAnswer.Granted(request.key(), endpoint.life()));
    return true;
  }

  /** Forgets what a former life of an endpoint has made untrue. */
  private void begun(EndpointIncarnation life) {
    penalties.forget(life.id());
    outliers.forget(life.id());
    foreign.forget(life.id());
    leases.recount();
  }

  private SlotLease adopted(SlotKey key, SlotUse use, Instant now) {
    String where = directory.find(use.endpoint()).map(EndpointRecord::dataCentre).orElse("");
    return new SlotLease(
        key,
        use.life(),
        where,
        where,
        use.batch(),
        use.rank(),
        use.work(),
        false,
        0,
        now,
        now,
        false);
  }

  private Optional<EndpointRecord> revokeOne(
      List<EndpointRecord> candidates, List<SlotAnswer> answers) {
    Set<String> ids = candidates.stream().map(EndpointRecord::id).collect(Collectors.toSet());
    @Nullable SlotLease last = null;
    for (SlotLease lease : leases.items()) {
      boolean fits = ids.contains(lease.endpoint());
      if (fits && (last == null || ITEM_ORDER.compare(lease, last) > 0)) {
        last = lease;
      }
    }
    if (last == null) {
      return Optional.empty();
    }
    SlotLease revoked = last;
    leases.drop(revoked.key());
    answers.add(new SlotAnswer.Revoked(revoked.key()));
    return candidates.stream()
        .filter(endpoint -> endpoint.id().equals(revoked.endpoint()))
        .findFirst();
  }
}
