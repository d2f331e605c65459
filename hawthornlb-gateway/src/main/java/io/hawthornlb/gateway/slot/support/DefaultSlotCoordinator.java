package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.learned.LearnedStateSource;
import io.hawthornlb.core.pace.PaceListener;
import io.hawthornlb.core.pace.PaceSummary;
import io.hawthornlb.core.workspace.LimitDecision;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.DemandReport;
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
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

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

  /**
   * Retry-After of a request whose version has no endpoint. One that crashed is back after about
   * two seconds; one that was replaced is not.
   */
  private static final Duration VERSION_RETRY = Duration.ofMillis(500);

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
  private final ItemHeadroom headroom;
  private final ItemRevocation revocation;
  private final RetryTime retryTime;

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
    this.quota = quota;
    this.onBlocked = onBlocked;
    this.directory = directory;
    this.settings = settings;
    this.penalties = new Penalties(settings);
    this.outliers = new OutlierDetector(settings);
    this.estimates = new ServiceEstimates(settings.scheduling(), directory);
    this.contention = new Contention(settings, estimates);
    this.turns = contention.turns();
    this.retries = contention.retries();
    this.waiting = new WaitingRequests(contention);
    this.leases = new SlotLeases(directory);
    this.lateItems = new LateItems(leases, waiting);
    this.headroom = new ItemHeadroom(settings, leases, estimates);
    this.revocation = new ItemRevocation(estimates);
    this.retryTime = new RetryTime(estimates.demand());
    this.search =
        new SlotSearch(
            service,
            directory,
            settings,
            leases,
            penalties,
            outliers,
            untrackedLoad,
            estimates.paces());
    directory.onRestart(this::onNewIncarnation);
  }

  /** Sets the listener for changes of the long-term pace of endpoints. */
  public void onPaceChange(PaceListener listener) {
    estimates.paces().onChange(listener);
  }

  /** Returns the current paces of the endpoints; empty if they report none. */
  public Optional<PaceSummary> paceSummary(Instant now) {
    return estimates.paces().active()
        ? Optional.of(estimates.paces().summary(now))
        : Optional.empty();
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
    if (!search.serves(request)) {
      return List.of(refused(request, VERSION_RETRY, RefusalCause.VERSION_GONE, 0));
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
    Duration early = retries.early(request, now);
    Retries.Standing standing =
        early.isZero() ? retries.arrived(request, now) : Retries.Standing.NEW;
    boolean firstInQueue = waiting.isEmpty();
    boolean hopeless = settings.scheduling().contended() && exhausted(now);
    if (hopeless || !tryGrant(request, now, answers)) {
      if (early.isZero()) {
        waitOrRefuse(request, standing, now, answers);
      } else {
        quota.refund(request, now);
        answers.add(refused(request, early, RefusalCause.EARLY_RETRY, 0));
      }
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
    if (outcome == SlotOutcome.ANSWERED) {
      if (!lease.batch()) {
        estimate.ended(lease.since(), now);
      }
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
      // A report without waiting requests was sent for its pace; the requests that it counts as
      // running may have ended or been granted since.
      if (load.waiting() > 0) {
        untrackedLoad.reported(lease.endpoint(), load, leases.used(lease.endpoint()), now);
      }
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

  @Override
  public LearnedStateSource learned() {
    return estimates;
  }

  @Override
  public Optional<DemandReport> demand(Instant now) {
    return estimates.demandReport(leases.online() + waiting.online(), now);
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
            estimates.queuedWork(request),
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
    Duration queue =
        estimates.active()
            ? estimates.untilSlot(waiting.workBefore(waiter), 0, search.capacity())
            : estimate.of(waiting.before(waiter), search.slots());
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
    Duration retryAfter = retryAfter(retries.count(now), now);
    if (waiter.standing() == Retries.Standing.NEW) {
      Duration waited = Duration.between(waiter.since(), now);
      ExpectedRoom room = contention.room(search.slots());
      retryAfter = retries.refused(request, retryAfter, waited, room, now);
    }
    double unitsAhead = settings.scheduling().contended() ? waiting.unitsBefore(waiter) : 0;
    return refused(request, retryAfter, cause, unitsAhead);
  }

  /**
   * Returns the time after which a refused caller should return.
   *
   * @param expected number of refused callers that are expected to return before
   */
  private Duration retryAfter(int expected, Instant now) {
    if (!estimates.active()) {
      Duration queue = estimate.retryAfter(waiting.online() + expected, search.slots());
      return RetryTime.later(queue, overload(now));
    }
    double capacity = search.capacity();
    Duration queue = estimates.untilSlot(waiting.onlineWork(), expected, capacity);
    Duration spread = estimates.untilSlot(Duration.ZERO, expected, capacity);
    return retryTime.of(queue, spread, capacity, overload(now), now);
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
      } else if (request.excluded().isEmpty() && request.version() == null) {
        failed.add(scope);
      }
    }
    return answers;
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
    if (request.batch()
        && !headroom.allows(request, search.freeForItem(request, notAvoided, now), now)) {
      return false;
    }
    Optional<EndpointRecord> found = search.withFreeSlot(notAvoided, from, now);
    if (found.isEmpty() && !request.batch()) {
      found =
          revokeOne(search.preferred(notAvoided, from, now), now, answers)
              .or(() -> revokeOne(notAvoided, now, answers))
              .or(() -> search.withFreeSlot(candidates, from, now));
    }
    if (found.isEmpty()) {
      return false;
    }
    EndpointRecord endpoint = found.get();
    penalties.granted(endpoint, request.dataCentre(), now);
    outliers.granted(endpoint.id(), request.dataCentre(), now);
    leases.put(SlotLease.granted(request, endpoint, late(request, now), now));
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
    return SlotLease.adopted(key, use, where, now);
  }

  private Optional<EndpointRecord> revokeOne(
      List<EndpointRecord> candidates, Instant now, List<SlotAnswer> answers) {
    // Fast path: at a peak, each request that finds no free slot gets here, and no item runs.
    if (!leases.anyItem()) {
      return Optional.empty();
    }
    Set<String> ids = candidates.stream().map(EndpointRecord::id).collect(Collectors.toSet());
    SlotLease revoked = revocation.choose(leases.items(), ids, now);
    if (revoked == null) {
      return Optional.empty();
    }
    leases.drop(revoked.key());
    answers.add(new SlotAnswer.Revoked(revoked.key()));
    return candidates.stream()
        .filter(endpoint -> endpoint.id().equals(revoked.endpoint()))
        .findFirst();
  }
}
