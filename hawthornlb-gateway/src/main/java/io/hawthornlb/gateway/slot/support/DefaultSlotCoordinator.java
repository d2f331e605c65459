package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.core.workspace.LimitDecision;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RefusalCause;
import io.hawthornlb.gateway.slot.RefusalReason;
import io.hawthornlb.gateway.slot.RequestQuota;
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
 * Coordinator that queues requests by rank and revokes a batch item's slot when an online request
 * finds no free slot.
 *
 * <p>The caller of a request that is refused at once can retry while there is still time. A request
 * that waits longer than it may would be answered late and would have delayed others. So an online
 * request waits only if its expected wait, estimated from the length of recent uses, is within its
 * maximum wait.
 */
public final class DefaultSlotCoordinator implements SlotCoordinator {

  /** Orders items that can finish in time before those that cannot, then by due time. */
  private static final Comparator<SlotLease> ITEM_ORDER =
      Comparator.comparing(SlotLease::late).thenComparing(SlotLease::rank);

  private final EndpointDirectory directory;
  private final SlotSettings settings;
  private final LongConsumer onBlocked;
  private final RequestQuota quota;
  private final Penalties penalties;
  private final OutlierDetector outliers;
  private final CrashCounts crashes = new CrashCounts();
  private final OverloadPeriod overloadPeriod = new OverloadPeriod();
  private final UntrackedLoad untrackedLoad = new UntrackedLoad();
  private final WaitEstimate estimate = new WaitEstimate();
  private final ServiceEstimates estimates;
  private final SlotLeases leases;
  private final Contention contention;
  private final Turns turns;
  private final Retries retries;
  private final WaitingRequests waiting;
  private final LateItems lateItems;
  private final SlotSearch search;

  /**
   * Creates a coordinator of a service.
   *
   * @param quota decides whether requests lie within the limits of their workspaces
   * @param onBlocked receives the fingerprint of each request that gets no more slots because it
   *     crashed endpoints
   */
  public DefaultSlotCoordinator(
      String service,
      EndpointDirectory directory,
      SlotSettings settings,
      RequestQuota quota,
      LongConsumer onBlocked) {
    this(
        service,
        directory,
        settings,
        quota,
        onBlocked,
        new ServiceEstimates(settings.scheduling()));
  }

  DefaultSlotCoordinator(
      String service,
      EndpointDirectory directory,
      SlotSettings settings,
      RequestQuota quota,
      LongConsumer onBlocked,
      ServiceEstimates estimates) {
    this.quota = quota;
    this.onBlocked = onBlocked;
    this.directory = directory;
    this.settings = settings;
    this.penalties = new Penalties(settings);
    this.outliers = new OutlierDetector(settings);
    this.estimates = estimates;
    this.contention = new Contention(settings, estimates);
    this.turns = contention.turns();
    this.retries = contention.retries();
    this.waiting = new WaitingRequests(contention);
    this.leases = new SlotLeases(directory);
    this.lateItems = new LateItems(leases, waiting);
    this.search =
        new SlotSearch(service, directory, settings, leases, penalties, outliers, untrackedLoad);
    directory.onRestart(this::onNewIncarnation);
  }

  @Override
  public List<SlotAnswer> request(SlotRequest request, Instant now) {
    SlotLease held = leases.find(request.key());
    if (held != null && leases.isCurrent(held)) {
      // The answer was lost, and the holder repeats its request.
      return List.of(new SlotAnswer.Granted(request.key(), held.incarnation()));
    }
    leases.drop(request.key());
    Waiter known = waiting.find(request.key());
    if (known != null) {
      return List.of(waitingUntil(known, now));
    }
    if (crashes.blocked(request.fingerprint(), now)) {
      return List.of(refused(request, crashes.blockTime(), RefusalCause.CRASHES, 0));
    }
    Duration early = retries.early(request, now);
    if (!early.isZero()) {
      return List.of(refused(request, early, RefusalCause.EARLY_RETRY, 0));
    }
    LimitDecision limit = quota.charge(request, now);
    if (!limit.allowed()) {
      return List.of(new SlotAnswer.OverLimit(request.key(), limit.retryAfter()));
    }
    if (!request.batch()) {
      estimates.arrived(request, now);
      contention.arrived(request, now);
    }
    List<SlotAnswer> answers = new ArrayList<>();
    Retries.Standing standing = retries.arrived(request, now);
    boolean firstInQueue = waiting.isEmpty();
    boolean hopeless = settings.scheduling().contended() && exhausted(now);
    if (hopeless || !tryGrant(request, now, answers)) {
      waitOrRefuse(request, standing, now, answers);
    } else if (firstInQueue) {
      overloadPeriod.slotFound(now);
    }
    return answers;
  }

  @Override
  public List<SlotAnswer> release(SlotKey key, SlotOutcome outcome, Instant now) {
    Waiter waiter = waiting.remove(key);
    if (waiter != null) {
      quota.refund(waiter.request(), now);
    }
    SlotLease lease = leases.drop(key);
    if (lease == null) {
      return List.of();
    }
    if (leases.isCurrent(lease)) {
      penalties.record(
          lease.endpoint(), lease.endpointDataCentre(), lease.dataCentre(), outcome, now);
      outliers.ended(lease, outcome, now);
    }
    if (outcome == SlotOutcome.FAILED && lease.fingerprint() != 0) {
      recordCrash(lease.fingerprint(), now);
    }
    if (outcome == SlotOutcome.ANSWERED && !lease.batch()) {
      estimate.ended(lease.since(), now);
      if (leases.isCurrent(lease)) {
        estimates.answered(lease, now);
      }
    }
    return fill(now);
  }

  @Override
  public void suspect(SlotKey key, Instant now) {
    SlotLease lease = leases.find(key);
    if (lease == null || !leases.isCurrent(lease)) {
      return;
    }
    // Record this as shed, not as a failure of the network path: a full endpoint is silent as well
    // and must not make its data centre count as cut off.
    penalties.record(
        lease.endpoint(), lease.endpointDataCentre(), lease.dataCentre(), SlotOutcome.SHED, now);
    SlotOutcome recorded = lease.suspected() ? SlotOutcome.FAILED : SlotOutcome.SHED;
    outliers.ended(lease, recorded, now);
    leases.put(lease.withSuspicion());
  }

  @Override
  public void reportLoad(SlotKey key, ReportedLoad load, Instant now) {
    SlotLease lease = leases.find(key);
    if (lease != null && leases.isCurrent(lease)) {
      if (load.hasPace()) {
        estimates.paces().reported(lease.endpoint(), load.pacePercent(), now);
      }
      untrackedLoad.reported(lease.endpoint(), load, leases.used(lease.endpoint()), now);
    }
  }

  @Override
  public void blockRequest(long fingerprint, Instant now) {
    crashes.block(fingerprint, now);
  }

  @Override
  public void renew(String holder, List<SlotUse> uses, Instant now) {
    Map<Long, SlotUse> reported =
        uses.stream().collect(Collectors.toMap(SlotUse::number, use -> use, (a, b) -> b));
    Instant renewedSince = now.minus(settings.leaseTime().dividedBy(3));
    leases.dropAll(
        lease ->
            lease.key().holder().equals(holder)
                && !reported.containsKey(lease.key().number())
                && lease.since().isBefore(renewedSince));
    for (SlotUse use : reported.values()) {
      SlotKey key = new SlotKey(holder, use.number());
      SlotLease known = leases.find(key);
      SlotLease renewed =
          known != null && known.endpoint().equals(use.endpoint())
              ? known.renewed(use.incarnation(), now)
              : adopted(key, use, now);
      leases.put(renewed);
    }
  }

  @Override
  public List<SlotAnswer> tick(Instant now) {
    Instant silentSince = now.minus(settings.leaseTime());
    leases.dropAll(lease -> lease.renewed().isBefore(silentSince));
    if (settings.lateItemsLast()) {
      lateItems.update(now);
    }
    List<SlotAnswer> answers = new ArrayList<>(fill(now));
    for (Waiter waiter : waiting.removeExpired(now)) {
      answers.add(refuse(waiter, RefusalCause.WAITED, now));
    }
    return answers;
  }

  @Override
  public boolean busy() {
    return !leases.isEmpty() || !waiting.isEmpty();
  }

  private void recordCrash(long fingerprint, Instant now) {
    crashes.recordCrash(fingerprint, now);
    if (crashes.blocked(fingerprint, now)) {
      onBlocked.accept(fingerprint);
    }
  }

  private void waitOrRefuse(
      SlotRequest request, Retries.Standing standing, Instant now, List<SlotAnswer> answers) {
    boolean isNew = standing == Retries.Standing.NEW;
    Duration longest = isNew ? request.maxWait() : request.patience();
    if (waiting.online() == 0) {
      turns.clear();
    }
    double turn = request.batch() ? 0 : turns.next(request);
    Waiter waiter =
        new Waiter(
            request,
            standing,
            turn,
            contention.units(request),
            late(request, now),
            now,
            now.plus(longest));
    if (contention.exceedsShare(waiter, search.slots(), now)) {
      answers.add(refuse(waiter, RefusalCause.QUEUE_SHARE, now));
      return;
    }
    if (!request.batch() && expectedWait(waiter, now).compareTo(longest) > 0) {
      answers.add(refuse(waiter, RefusalCause.EXPECTED_WAIT, now));
      return;
    }
    waiting.add(waiter);
    if (!request.batch()) {
      turns.taken(waiter);
    }
    answers.add(waitingUntil(waiter, now));
  }

  private Duration expectedWait(Waiter waiter, Instant now) {
    Duration queue = estimate.of(waiting.before(waiter), search.slots());
    // New requests go first, so a returning one is served only once the overload ends.
    Duration overload = waiter.returning() ? overloadPeriod.remaining(now) : Duration.ZERO;
    return queue.compareTo(overload) > 0 ? queue : overload;
  }

  private static SlotAnswer waitingUntil(Waiter waiter, Instant now) {
    return new SlotAnswer.Waiting(waiter.request().key(), Duration.between(now, waiter.until()));
  }

  /**
   * Refuses a request, with the time after which the requests before it are likely to be served.
   */
  private SlotAnswer refuse(Waiter waiter, RefusalCause cause, Instant now) {
    SlotRequest request = waiter.request();
    quota.refund(request, now);
    if (request.batch()) {
      return refused(request, Duration.ZERO, cause, 0);
    }
    int before = waiting.online() + retries.count(now);
    Duration queue = estimate.retryAfter(before, search.slots());
    Duration overload = overload(now);
    Duration retryAfter = queue.compareTo(overload) > 0 ? queue : overload;
    if (waiter.standing() == Retries.Standing.NEW) {
      Duration waited = Duration.between(waiter.since(), now);
      ExpectedRoom room = contention.room(search.slots());
      retryAfter = retries.refused(request, retryAfter, waited, room, now);
    }
    double unitsAhead = settings.scheduling().contended() ? waiting.unitsBefore(waiter) : 0;
    return refused(request, retryAfter, cause, unitsAhead);
  }

  private SlotAnswer refused(
      SlotRequest request, Duration retryAfter, RefusalCause cause, double unitsAhead) {
    SlotAnswer.Load seen = new SlotAnswer.Load(search.slots(), leases.counted(), waiting.online());
    RefusalReason reason = contention.reason(request, cause, unitsAhead);
    return new SlotAnswer.Refused(request.key(), retryAfter, seen, reason);
  }

  /** Records a refusal and returns how long the overload that caused it is likely to last. */
  private Duration overload(Instant now) {
    if (settings.returnTime().isNegative() || !exhausted(now)) {
      // Only this request finds no slot: it may have excluded the endpoints that have a free one.
      return Duration.ZERO;
    }
    overloadPeriod.refused(now);
    return overloadPeriod.remaining(now);
  }

  /**
   * Grants free slots to the waiting requests, in their order.
   *
   * <p>At the peak load of a large fleet hundreds of requests wait while slots become free one by
   * one. A search that found no slot is not repeated for other requests from the same data centre,
   * because it would find none either, and no search is made while all slots are in use ({@link
   * #exhausted}).
   */
  private List<SlotAnswer> fill(Instant now) {
    List<SlotAnswer> answers = new ArrayList<>();
    Set<SearchScope> failed = new HashSet<>();
    Iterator<Waiter> next = waiting.inOrder();
    while (next.hasNext() && !exhausted(now)) {
      Waiter waiter = next.next();
      SlotRequest request = waiter.request();
      if (request.batch() && !search.anyFree(now)) {
        // Items come last, so there is no slot for the items behind this one either.
        break;
      }
      SearchScope scope = new SearchScope(request.dataCentre(), request.batch());
      if (failed.contains(scope)) {
        continue;
      }
      if (tryGrant(request, now, answers)) {
        next.remove();
        turns.served(waiter);
      } else if (request.excluded().isEmpty()) {
        failed.add(scope);
      }
    }
    return answers;
  }

  /**
   * Scope of a search for a slot; searches with equal scopes find the same endpoints, except for
   * those that a request excludes.
   */
  private record SearchScope(String dataCentre, boolean batch) {

    // Written by hand, because the JVM links the generated methods at run time, which takes some
    // milliseconds.
    @Override
    public boolean equals(Object other) {
      return other instanceof SearchScope scope
          && batch == scope.batch
          && dataCentre.equals(scope.dataCentre);
    }

    @Override
    public int hashCode() {
      return 31 * dataCentre.hashCode() + Boolean.hashCode(batch);
    }
  }

  private boolean late(SlotRequest request, Instant now) {
    return settings.lateItemsLast() && lateItems.late(request, now);
  }

  /** Returns whether no endpoint has a slot that is free or can be revoked. */
  private boolean exhausted(Instant now) {
    return !leases.anyItem() && !search.anyFree(now);
  }

  private boolean tryGrant(SlotRequest request, Instant now, List<SlotAnswer> answers) {
    String from = request.dataCentre();
    List<EndpointRecord> candidates = search.candidates(request, now);
    List<EndpointRecord> notAvoided = search.withoutAvoided(candidates, from, now);
    if (request.batch() && !search.roomForItem(notAvoided, now)) {
      return false;
    }
    Optional<EndpointRecord> found = search.withFreeSlot(notAvoided, from, now);
    if (found.isEmpty() && !request.batch()) {
      found =
          revokeOne(search.preferred(notAvoided, from), answers)
              .or(() -> revokeOne(notAvoided, answers))
              .or(() -> search.withFreeSlot(candidates, from, now));
    }
    if (found.isEmpty()) {
      return false;
    }
    EndpointRecord endpoint = found.get();
    penalties.granted(endpoint, request.dataCentre(), now);
    outliers.granted(endpoint.id(), request.dataCentre(), now);
    leases.put(
        new SlotLease(
            request.key(),
            endpoint.incarnation(),
            endpoint.dataCentre(),
            request.dataCentre(),
            request.batch(),
            request.rank(),
            request.work(),
            late(request, now),
            request.fingerprint(),
            request.size(),
            request.workspace(),
            now,
            now,
            false));
    answers.add(new SlotAnswer.Granted(request.key(), endpoint.incarnation()));
    return true;
  }

  /** Discards the state that became invalid with the former incarnation of an endpoint. */
  private void onNewIncarnation(EndpointIncarnation incarnation) {
    penalties.forget(incarnation.id());
    outliers.forget(incarnation.id());
    untrackedLoad.forget(incarnation.id());
    estimates.paces().forget(incarnation.id());
    leases.recount();
  }

  private SlotLease adopted(SlotKey key, SlotUse use, Instant now) {
    String where = directory.find(use.endpoint()).map(EndpointRecord::dataCentre).orElse("");
    return new SlotLease(
        key,
        use.incarnation(),
        where,
        where,
        use.batch(),
        use.rank(),
        use.work(),
        false,
        0,
        WorkSize.NONE,
        null,
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
